package io.waxwingquay.bundle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.settings.Problem;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BundleDocumentTest {

    private static final String VALID_BUNDLE =
            """
            version = 1
            [[services]]
            name = "logs"
            kind = "model"
            replicas = 2
            memory_bytes = 100
            accelerators = 1
            weight_loads_at_once = 7
            adapter_loads_at_once = 55
            max_concurrent = 8
            [[services]]
            name = "records"
            kind = "plain"
            replicas = 3
            max_concurrent = 8
            [[models]]
            name = "soak"
            service = "logs"
            version = "1"
            size_bytes = 90
            [[adapters]]
            name = "forge"
            model = "soak"
            version = "1"
            size_bytes = 1
            [[operations]]
            service = "records"
            name = "sign-release"
            """;

    @Test
    void readsAValidBundle() {
        Bundle bundle = BundleDocument.parse("good", VALID_BUNDLE.getBytes());
        assertEquals(90, bundle.model("soak").orElseThrow().sizeBytes());
        // By default, an operation must not run twice, which is the safe assumption.
        assertTrue(bundle.operation("records", "sign-release").orElseThrow().nonIdempotent());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '@',
            value = {
                "memory_bytes = 100@memory_byte = 100@line 6: services[1] 'logs'.memory_byte: is no known key; did you",
                "version = 1\\n[[services]]@[[services]]@version: is missing; write version = 1 to",
                "replicas = 3@replicas = \"3\"@line 14: services[2] 'records'.replicas: is string; write a whole number",
                "size_bytes = 90@size_bytes = 0@line 20: models[1] 'soak'.size_bytes: is 0, which is not allowed",
                "name = \"records\"@name = \"logs\"@line 12: services[2] 'logs'.name: 'logs' stands twice",
                "model = \"soak\"@model = \"sok\"@line 23: adapters[1] 'forge'.model: names no model of this bundle",
                "service = \"logs\"@service = \"log\"@line 18: models[1] 'soak'.service: names no service of this",
                "service = \"logs\"@service = \"records\"@line 18: models[1] 'soak'.service: 'records' is a plain",
                "service = \"records\"@service = \"logs\"@line 27: operations[1] 'sign-release'.service: 'logs' is a",
                "service = \"records\"@service = \"none\"@line 27: operations[1] 'sign-release'.service: names no",
                "size_bytes = 90@size_bytes = 101@line 20: models[1] 'soak'.size_bytes: is 101 bytes, above the 100"
            })
    void reportsAFaultWithItsElementAndLine(String original, String replacement, String expected) {
        List<Problem> problems = problems(VALID_BUNDLE.replace(lines(original), lines(replacement)));
        assertTrue(problems.stream().anyMatch(problem -> problem.toString().startsWith(expected)), problems.toString());
    }

    @Test
    void refusesModelsThatExceedTheMemoryOfAllReplicas() {
        String oversized = VALID_BUNDLE
                + """
                [[models]]
                name = "quench"
                service = "logs"
                version = "1"
                size_bytes = 100
                [[models]]
                name = "quench"
                service = "logs"
                version = "1"
                size_bytes = 100
                """;
        List<Problem> problems = problems(oversized);
        assertEquals(2, problems.size(), "both problems are reported together");
        assertTrue(problems.get(1).message().startsWith("give 200 bytes in all, but the service's models take 290"));
    }

    @Test
    void exampleBundlesHaveTheExpectedElements() throws IOException {
        Bundle tamworth = example("tamworth");
        assertEquals(17, tamworth.models().size());
        assertEquals(55, tamworth.adapters().size());
        assertTrue(
                tamworth.operation("batch-record", "sign-release").orElseThrow().nonIdempotent());
        Bundle claywheel = example("claywheel");
        assertEquals(30, claywheel.models().size());
        assertEquals(110, claywheel.adapters().size());
        assertTrue(claywheel
                .operation("booking-payment", "pay-deposit")
                .orElseThrow()
                .nonIdempotent());
        assertTrue(claywheel
                .operation("booking-payment", "reserve-seat")
                .orElseThrow()
                .nonIdempotent());
    }

    private static Bundle example(String name) throws IOException {
        Path file = Path.of("examples", name + ".toml");
        return BundleDocument.parse(file.toString(), Files.readAllBytes(file));
    }

    private static List<Problem> problems(String text) {
        return assertThrows(BundleException.Invalid.class, () -> BundleDocument.parse("bad", text.getBytes()))
                .problems();
    }

    private static String lines(String text) {
        return text.replace("\\n", "\n");
    }
}
