package io.waxwingquay.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.account.QuotaTolerance;
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

    // Guards against a process that stays alive without serving when a port is in use, so that nobody restarts it.
    @Test
    void reportsPortInUseAndDoesNotStart() throws IOException {
        int port = FreePorts.adjacent(4, List.of(LOOPBACK));
        try (ServerSocket occupied = new ServerSocket(port + 2, 1, InetAddress.getByName(LOOPBACK))) {
            String error = startError(settings(port, Optional.of(new HostPort(LOOPBACK, occupied.getLocalPort()))));
            assertTrue(error.contains("free the port or change it"), error);
        }
    }

    @Test
    void reportsMissingAddress() {
        String error = startError(settings(FreePorts.adjacent(4, List.of(LOOPBACK)), Optional.empty()));
        assertTrue(error.contains("listen.front: is missing"), error);
    }

    private static String startError(HostSettings settings) {
        StringWriter errors = new StringWriter();
        assertEquals(Optional.empty(), HostedRole.ENTRY.start(settings, new PrintWriter(errors, true)));
        return errors.toString();
    }

    private static HostSettings settings(int firstPort, Optional<HostPort> callers) {
        return new HostSettings(
                "n",
                "z",
                LOOPBACK,
                firstPort,
                firstPort + 1,
                callers,
                Optional.of(new HostPort(LOOPBACK, firstPort + 3)),
                Optional.empty(),
                Optional.empty(),
                new HostPort(LOOPBACK, 1),
                true,
                List.of(),
                new HostSettings.Bounds(2_000, 8_000, 0.2, 200, 5_000, 1.1, QuotaTolerance.NONE, 125e6));
    }
}
