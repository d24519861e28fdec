package io.waxwingquay.command;

import io.waxwingquay.observe.Logging;
import io.waxwingquay.process.EntryProcess;
import io.waxwingquay.settings.EntrySettings;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Runs an entry process until it is stopped, and drains requests in flight before it exits.
 */
@Command(
        name = "entry",
        description = "Runs an entry, which accepts callers' requests.",
        mixinStandardHelpOptions = true)
final class EntryCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Option(names = "--settings", required = true, description = "The settings file, see docs/settings/entry.toml.")
    private Path file;

    /** {@inheritDoc} */
    @Override
    public Integer call() throws InterruptedException, ExecutionException {
        return RoleRunner.run(file, spec.commandLine().getErr(), EntrySettings::read, settings -> {
            Logging.configure(settings.process().logFormat(), settings.process().logLevel());
            EntryProcess process = EntryProcess.start(settings);
            return new RoleRunner.RunningRole(process::drain, process.closed());
        });
    }
}
