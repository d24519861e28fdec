package io.waxwingquay.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.hosted.HostSettings;
import io.waxwingquay.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsFileTest {

    private static final String WHOLE =
            """
            node = "side-1"
            ip = "10.1.0.40"
            zone = "mid-a"
            port_range = [7380, 7395]
            app = "10.1.0.40:8145"
            service = "huvo"
            something_new = [1, 2]
            [listen]
            front = "10.1.0.40:8149"
            [bounds]
            drain_ms = 2000
            grace_s = 8
            retry_budget_ratio = 0.2
            budget_slack = 56
            [platform]
            address = "10.200.1.7:8142"
            """;

    @TempDir
    private Path directory;

    @Test
    void readsKnownFieldsAndIgnoresUnknownOnes() throws IOException {
        HostSettings settings = read(WHOLE);
        assertEquals(Optional.of(new HostPort("10.1.0.40", 8145)), settings.engineAddress());
        assertEquals(new HostPort("10.200.1.7", 8142), settings.storeAddress());
        assertEquals(7380, settings.peerPort());
        assertEquals(8_000, settings.bounds().graceMillis());
        assertEquals(Optional.empty(), settings.readinessAddress());
    }

    @Test
    void namesEveryMissingRequiredField() {
        String lacking = WHOLE.replace("node = \"side-1\"\n", "")
                .replace("drain_ms = 2000\n", "")
                .replace("address = \"10.200.1.7:8142\"", "");
        SettingsException refused = assertThrows(SettingsException.class, () -> read(lacking));
        assertTrue(refused.getMessage().contains("node: is missing"), refused.getMessage());
        assertTrue(refused.getMessage().contains("bounds.drain_ms"), refused.getMessage());
        assertTrue(refused.getMessage().contains("platform.address"), refused.getMessage());
    }

    private HostSettings read(String text) throws IOException {
        Path file = directory.resolve("local.toml");
        Files.writeString(file, text);
        return SettingsFile.read(file);
    }
}
