package io.waxwingquay.command;

import io.waxwingquay.observe.Logging;
import io.waxwingquay.settings.ProcessSettings.LogFormat;
import io.waxwingquay.settings.ProcessSettings.LogLevel;
import io.waxwingquay.standin.prepared.Rehearsal;
import java.net.BindException;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Plays the hosted roles on loopback against stand-ins; the build runs it to make its class archive.
 */
@Command(
        name = "rehearse",
        description = "Plays the hosted roles on loopback against stand-ins.",
        mixinStandardHelpOptions = true)
final class RehearseCommand implements Callable<Integer> {

    private static final int LOWEST_PORT = 20_000;
    private static final int HIGHEST_PORT = 30_000;
    private static final int MOST_DRAWS = 5;

    @Option(names = "--port", description = "The first of ten free ports on loopback; drawn if it is left out.")
    private Optional<Integer> port = Optional.empty();

    /** {@inheritDoc} */
    @Override
    public Integer call() throws Exception {
        Logging.configureStandardOutput(LogFormat.TEXT, LogLevel.INFO);
        if (port.isPresent()) {
            Rehearsal.play(port.get());
        } else {
            playAtDrawnPorts();
        }
        Logging.flush();
        return ExitCodes.OK;
    }

    /** Other programs may use some of the ports that are drawn. */
    private static void playAtDrawnPorts() throws Exception {
        for (int draw = 1; ; draw++) {
            try {
                Rehearsal.play(ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT));
                return;
            } catch (Exception failure) {
                if (draw == MOST_DRAWS || !isPortTaken(failure)) {
                    throw failure;
                }
            }
        }
    }

    private static boolean isPortTaken(Throwable failure) {
        return Stream.iterate(failure, Objects::nonNull, Throwable::getCause).anyMatch(BindException.class::isInstance);
    }
}
