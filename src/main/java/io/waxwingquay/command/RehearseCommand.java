package io.waxwingquay.command;

import io.waxwingquay.hosted.HostedProcess;
import io.waxwingquay.observe.Logging;
import io.waxwingquay.platform.SettingsFile;
import io.waxwingquay.settings.ProcessSettings.LogFormat;
import io.waxwingquay.settings.ProcessSettings.LogLevel;
import io.waxwingquay.standin.prepared.TrainingRun;
import java.io.IOException;
import java.net.BindException;
import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs the hosted roles on loopback against stand-ins; the build runs it to create the class archive.
 */
@Command(
        name = "rehearse",
        description = "Runs the hosted roles on loopback against stand-ins.",
        mixinStandardHelpOptions = true)
final class RehearseCommand implements Callable<Integer> {

    private static final int MIN_FIRST_PORT = 20_000;
    private static final int MAX_FIRST_PORT = 30_000;
    private static final int MAX_ATTEMPTS = 5;

    @Option(names = "--port", description = "The first of ten free ports on loopback; chosen at random by default.")
    private Optional<Integer> port = Optional.empty();

    /** {@inheritDoc} */
    @Override
    public Integer call() throws Exception {
        Logging.configureStandardOutput(LogFormat.TEXT, LogLevel.INFO);
        if (port.isPresent()) {
            TrainingRun.run(RehearseCommand::launch, port.get());
        } else {
            runOnRandomPorts();
        }
        Logging.flush();
        return ExitCodes.OK;
    }

    /** Launches a process by the code that {@link HostedMain} runs. */
    private static CompletableFuture<HostedProcess> launch(String name, Path settings) throws IOException {
        HostedRole role = HostedMain.parseRole(name)
                .orElseThrow(() -> new IllegalArgumentException("there is no role named " + name));
        return role.launch(SettingsFile.read(settings)).thenApply(process -> {
            HostedRole.handleSignals(process, new CountDownLatch(1));
            return process;
        });
    }

    /** Runs on random ports and retries with others if a port is in use by another program. */
    private static void runOnRandomPorts() throws Exception {
        for (int attempt = 1; ; attempt++) {
            try {
                TrainingRun.run(
                        RehearseCommand::launch, ThreadLocalRandom.current().nextInt(MIN_FIRST_PORT, MAX_FIRST_PORT));
                return;
            } catch (Exception failure) {
                if (attempt == MAX_ATTEMPTS || !isPortInUse(failure)) {
                    throw failure;
                }
            }
        }
    }

    private static boolean isPortInUse(Throwable failure) {
        return Stream.iterate(failure, Objects::nonNull, Throwable::getCause).anyMatch(BindException.class::isInstance);
    }
}
