package io.waxwingquay.command;

import io.waxwingquay.observe.Logging;
import io.waxwingquay.process.SideProcess;
import io.waxwingquay.settings.SideSettings;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Runs a side process until it is stopped, and drains requests in flight before it exits.
 */
@Command(name = "side", description = "Runs a side process beside its target.", mixinStandardHelpOptions = true)
final class SideCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Option(names = "--settings", required = true, description = "The settings file, see docs/settings/side.toml.")
    private Path file;

    /** {@inheritDoc} */
    @Override
    public Integer call() throws InterruptedException, ExecutionException {
        return RoleRunner.run(file, spec.commandLine().getErr(), SideSettings::read, settings -> {
            Logging.configure(settings.process().logFormat(), settings.process().logLevel());
            SideProcess process = SideProcess.start(settings);
            return new RoleRunner.RunningRole(process::drain, process.closed());
        });
    }
}
