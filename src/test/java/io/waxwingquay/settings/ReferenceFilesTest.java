package io.waxwingquay.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class ReferenceFilesTest {

    private static final Path ENTRY_REFERENCE = Path.of("docs/settings/entry.toml");
    private static final Path SIDE_REFERENCE = Path.of("docs/settings/side.toml");

    @Test
    void entryReferenceNamesEveryKeyWithItsDefaultAndRange() throws IOException {
        assertComplete(ENTRY_REFERENCE, EntrySettings::from);
    }

    @Test
    void sideReferenceNamesEveryKeyWithItsDefaultAndRange() throws IOException {
        assertComplete(SIDE_REFERENCE, SideSettings::from);
    }

    private static <T> void assertComplete(Path file, Function<TomlTable, T> reader) throws IOException {
        String text = Files.readString(file);
        Map<String, String> known = new HashMap<>();
        T fromReference = TomlDocument.read(file.toString(), text.getBytes(), table -> {
            T settings = reader.apply(table);
            known.putAll(table.knownKeys());
            return settings;
        });
        known.forEach((key, allowed) -> assertDocumented(text, key, allowed));
        T fromRequiredKeys =
                TomlDocument.read("required keys", withoutDefaults(text).getBytes(), reader);
        assertEquals(fromReference, fromRequiredKeys);
    }

    private static void assertDocumented(String text, String key, String allowed) {
        String paragraph = Arrays.stream(text.split("\n\n"))
                .filter(part -> part.lines().anyMatch(line -> line.startsWith(key + " = ")))
                .findFirst()
                .orElse("");
        assertFalse(paragraph.isEmpty(), key + " is not documented");
        assertTrue(paragraph.contains("efault"), key + " does not state its default");
        if (allowed.contains(" to ") || allowed.contains(" | ")) {
            assertTrue(paragraph.contains(allowed), key + " lacks its range " + allowed);
        }
    }

    private static String withoutDefaults(String text) {
        return Arrays.stream(text.split("\n\n"))
                .filter(part -> part.contains("No default."))
                .collect(Collectors.joining("\n\n"));
    }
}
