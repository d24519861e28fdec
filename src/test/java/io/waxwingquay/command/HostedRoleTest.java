package io.waxwingquay.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.hosted.HostSettings;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class HostedRoleTest {

    /** Set aside for documentation; no machine has it. */
    private static final String FOREIGN_HOST = "192.0.2.1";

    // A port is taken, or the address is another machine's. The process stayed alive and served nothing, so that nobody
    // started it again.
    @Test
    void roleThatCannotListenEndsAndSaysWhy() {
        StringWriter errors = new StringWriter();
        HostSettings settings = new HostSettings(
                "n",
                "z",
                FOREIGN_HOST,
                7_380,
                7_381,
                Optional.of(new HostPort(FOREIGN_HOST, 8_149)),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                new HostPort("127.0.0.1", 1),
                true,
                List.of(),
                new HostSettings.Bounds(2_000, 8_000, 0.2, 200, 5_000, 1.1));
        assertEquals(Optional.empty(), HostedRole.ENTRY.start(settings, new PrintWriter(errors, true)));
        assertTrue(errors.toString().contains(FOREIGN_HOST), errors.toString());
    }
}
