package io.waxwingquay.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.hosted.HostSettings;
import io.waxwingquay.testing.FreePorts;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class HostedRoleTest {

    private static final String LOOPBACK = "127.0.0.1";

    // A port is taken. The process stayed alive and served nothing, so that nobody
    // started it again.
    @Test
    void roleThatCannotListenEndsAndSaysWhy() throws IOException {
        int port = FreePorts.adjacent(3, List.of(LOOPBACK));
        StringWriter errors = new StringWriter();
        try (ServerSocket taken = new ServerSocket(port + 2, 1, InetAddress.getByName(LOOPBACK))) {
            HostSettings settings = settings(port, taken.getLocalPort());
            assertEquals(Optional.empty(), HostedRole.ENTRY.start(settings, new PrintWriter(errors, true)));
        }
        assertTrue(errors.toString().contains("free the port or change it"), errors.toString());
    }

    private static HostSettings settings(int firstPort, int callersPort) {
        return new HostSettings(
                "n",
                "z",
                LOOPBACK,
                firstPort,
                firstPort + 1,
                Optional.of(new HostPort(LOOPBACK, callersPort)),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                new HostPort(LOOPBACK, 1),
                true,
                List.of(),
                new HostSettings.Bounds(2_000, 8_000, 0.2, 200, 5_000, 1.1));
    }
}
