package io.waxwingquay.standin.prepared;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.waxwingquay.testing.FreePorts;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.Test;

class TrainingRunTest {

    // The caller port is taken. Guards against a failure that is only logged, so that the build waits for its timeout.
    @Test
    void takenPortFailsTheTrainingRunWithItsCause() throws Exception {
        int base = FreePorts.adjacent(10, List.of("127.0.0.1", "127.0.0.2", "127.0.0.3"));
        try (ServerSocket taken = new ServerSocket(base + 2, 1, InetAddress.getByName("127.0.0.1"))) {
            ExecutionException failure =
                    assertThrows(ExecutionException.class, () -> TrainingRun.run(taken.getLocalPort() - 2));
            assertInstanceOf(UncheckedIOException.class, failure.getCause());
        }
    }
}
