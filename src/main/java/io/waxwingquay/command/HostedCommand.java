package io.waxwingquay.command;

import io.waxwingquay.settings.ProcessSettings.LogLevel;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Runs one role on the prepared platform until SIGTERM.
 */
@Command(
        name = "hosted",
        description = "Runs a role on the prepared platform with the settings file that the platform writes.",
        mixinStandardHelpOptions = true)
final class HostedCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", description = "The role: ${COMPLETION-CANDIDATES}.")
    private HostedRole role;

    @Option(
            names = "--settings",
            description = "The settings file; by default the one that the variable WAXWINGQUAY_CONFIG names.")
    private Path file;

    @Option(names = "--log", description = "The minimum log level: ${COMPLETION-CANDIDATES}.")
    private LogLevel level = LogLevel.INFO;

    /** {@inheritDoc} */
    @Override
    public Integer call() throws InterruptedException {
        Path settings = file != null ? file : HostedRole.defaultSettingsFile();
        return role.run(settings, level, spec.commandLine().getErr());
    }
}
