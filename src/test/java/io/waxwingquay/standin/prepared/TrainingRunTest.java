package io.waxwingquay.standin.prepared;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.waxwingquay.hosted.HostSettings;
import io.waxwingquay.hosted.HostedEntry;
import io.waxwingquay.hosted.HostedProcess;
import io.waxwingquay.hosted.HostedSide;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.platform.SettingsFile;
import io.waxwingquay.testing.FreePorts;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.Test;

class TrainingRunTest {

    // The caller port is taken. Guards against a failure that is only logged, so that the build waits for its timeout.
    @Test
    void takenPortFailsTheTrainingRunWithItsCause() throws Exception {
        int base = FreePorts.adjacent(10, List.of("127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4"));
        try (ServerSocket taken = new ServerSocket(base + 2, 1, InetAddress.getByName("127.0.0.1"))) {
            ExecutionException failure = assertThrows(
                    ExecutionException.class, () -> TrainingRun.run(TrainingRunTest::launch, taken.getLocalPort() - 2));
            assertInstanceOf(UncheckedIOException.class, failure.getCause());
        }
    }

    private static CompletableFuture<HostedProcess> launch(String role, Path file) throws IOException {
        HostSettings settings = SettingsFile.read(file);
        EventLoop loop = EventLoop.start(role);
        CompletableFuture<HostedProcess> launched = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                launched.complete(
                        role.equals("entry") ? HostedEntry.start(loop, settings) : HostedSide.start(loop, settings));
            } catch (RuntimeException failure) {
                launched.completeExceptionally(failure);
            }
        });
        return launched;
    }
}
