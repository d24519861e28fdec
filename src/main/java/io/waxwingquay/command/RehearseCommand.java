package io.waxwingquay.command;

import io.waxwingquay.observe.Logging;
import io.waxwingquay.settings.ProcessSettings.LogFormat;
import io.waxwingquay.settings.ProcessSettings.LogLevel;
import io.waxwingquay.standin.prepared.Rehearsal;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ThreadLocalRandom;
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

    @Option(names = "--port", description = "The first of ten free ports on loopback; drawn if it is left out.")
    private Optional<Integer> port = Optional.empty();

    /** {@inheritDoc} */
    @Override
    public Integer call() throws Exception {
        Logging.toStandardOutput(LogFormat.TEXT, LogLevel.INFO);
        Rehearsal.play(port.orElseGet(() -> ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT)));
        Logging.flush();
        return ExitCodes.OK;
    }
}
