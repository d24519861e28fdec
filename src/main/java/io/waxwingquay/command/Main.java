package io.waxwingquay.command;

import io.waxwingquay.observe.Logging;
import io.waxwingquay.settings.ProcessSettings.LogFormat;
import io.waxwingquay.settings.ProcessSettings.LogLevel;
import io.waxwingquay.standin.StandinCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ParseResult;
import picocli.CommandLine.Spec;

/**
 * The one binary: a subcommand for each role and each operator action.
 */
@Command(
        name = "waxwingquay",
        description = "Serves many models on fewer accelerators, driven only by signed, versioned bundles.",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        version = "waxwingquay 0.1.0")
public final class Main implements Runnable {

    @Spec
    private CommandSpec spec;

    private Main() {}

    /**
     * Starts the command line.
     *
     * @param arguments the arguments.
     */
    public static void main(String[] arguments) {
        Logging.configure(LogFormat.TEXT, LogLevel.WARN);
        System.exit(commandLine(HttpPlatform::open).execute(arguments));
    }

    /**
     * The whole command line.
     *
     * @param platforms opens clients of the platform.
     * @return the command line.
     */
    static CommandLine commandLine(PlatformFactory platforms) {
        CommandLine root = new CommandLine(new Main())
                .addSubcommand(new EntryCommand())
                .addSubcommand(new SideCommand())
                .addSubcommand(new HostedCommand())
                .addSubcommand(new RehearseCommand())
                .addSubcommand(new BundleCommand(platforms))
                .addSubcommand(new DumpCommand())
                .addSubcommand(new DemoCommand())
                .addSubcommand(new CapacityCommand())
                .addSubcommand(new BenchCommand())
                .addSubcommand(new StandinCommand())
                .addSubcommand(new CompletionCommand());
        describeExitCodes(root);
        root.setCaseInsensitiveEnumValuesAllowed(true);
        return root.setExecutionExceptionHandler(Main::tell);
    }

    /** {@inheritDoc} */
    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed");
    }

    /** An operator is told what failed in a sentence; the trace is for a search after a cause, at DEBUG. */
    private static int tell(Exception failure, CommandLine command, ParseResult arguments) {
        command.getErr().println(command.getCommandSpec().qualifiedName() + " failed: " + failure);
        System.getLogger("waxwingquay.command").log(System.Logger.Level.DEBUG, "command: a command failed.", failure);
        return ExitCodes.FAILED;
    }

    private static void describeExitCodes(CommandLine command) {
        command.getCommandSpec()
                .usageMessage()
                .exitCodeListHeading("%nExit codes:%n")
                .exitCodeList(ExitCodes.help());
        command.getSubcommands().values().forEach(Main::describeExitCodes);
    }
}
