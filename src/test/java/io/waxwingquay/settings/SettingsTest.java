package io.waxwingquay.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsTest {

    private static final Path REFERENCE = Path.of("docs/settings/side.toml");

    // An operator mistypes one line of the settings. The start must be refused with a message that names the key, its
    // line and what to write; otherwise the process would run with an unintended value.
    @ParameterizedTest
    @CsvSource(
            delimiter = '@',
            quoteCharacter = '`',
            value = {
                "queue_limit = 256@queue_limt = 256@line 69: queue_limt: is no known key; did you mean queue_limit?",
                "queue_limit = 256@queue_limit = 100001@line 69: queue_limit: is 100001, which is not allowed; "
                        + "write 0 to 100000 requests",
                "queue_limit = 256@queue_limit = \"many\"@line 69: queue_limit: is string; write a whole number, "
                        + "0 to 100000 requests",
                "replica = 0@@replica: is missing; write replica = 0 to 99999 replica number",
                "host = \"127.0.0.1\"@host = \"localhost\"@line 14: host: is 'localhost'; write an IP number, "
                        + "for example 10.0.0.7",
                "target_kind = \"model\"@target_kind = \"engine\"@line 58: target_kind: is 'engine', which is not "
                        + "allowed; write model | plain",
                "seeds = []@seeds = [\"10.0.0.7\"]@line 30: seeds: address '10.0.0.7' is not host:port; "
                        + "write for example 10.0.0.7:9000",
                "trusted_keys = [@trusted_key = [@line 27: trusted_key: is no known key; did you mean trusted_keys?"
            })
    void reportsAnInvalidKeyWithItsLine(String original, String replacement, String expected) throws IOException {
        String text =
                Files.readString(REFERENCE).replace("\n" + original, "\n" + (replacement == null ? "" : replacement));
        List<String> problems = problems(text);
        assertEquals(expected, problems.get(problems.size() - 1));
    }

    @Test
    void reportsAllProblemsTogether() throws IOException {
        String text = Files.readString(REFERENCE)
                .replace("queue_limit = 256", "queue_limit = -1")
                .replace("thrift_port = 7200", "thrift_port = 70000");
        assertEquals(2, problems(text).size());
    }

    @Test
    void reportsInvalidTomlWithItsLine() {
        List<String> problems = problems("name = \"side-1\"\nregion = \n");
        assertEquals(1, problems.size());
        assertEquals("line 2: document", problems.get(0).substring(0, 16));
    }

    private static List<String> problems(String text) {
        SettingsException failure =
                assertThrows(SettingsException.class, () -> SideSettings.parse("side.toml", text.getBytes()));
        return failure.problems().stream().map(Problem::toString).toList();
    }
}
