package io.waxwingquay.command;

import io.waxwingquay.observe.Logging;
import io.waxwingquay.settings.ProcessSettings.LogFormat;
import io.waxwingquay.settings.ProcessSettings.LogLevel;
import io.waxwingquay.standin.StandinCommand;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ParseResult;
import picocli.CommandLine.Spec;

/**
 * Main class of the command line, with a subcommand for each role and each operator action.
 */
@Command(
        name = "waxwingquay",
        description = "Serves many models on fewer accelerators, driven only by signed, versioned bundles.",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        version = "waxwingquay 0.1.0")
public final class Main implements Runnable {

    /** Commands that run a role until the process is stopped. */
    private static final Set<String> ROLE_COMMANDS = Set.of("entry", "side", "hosted");

    @Spec
    private CommandSpec spec;

    private Main() {}

    /**
     * Runs the command line.
     *
     * @param arguments the command-line arguments.
     */
    public static void main(String[] arguments) {
        Logging.configure(LogFormat.TEXT, LogLevel.WARN);
        System.exit(commandLine(HttpPlatform::open, arguments).execute(arguments));
    }

    /**
     * Creates a command line with the commands that one invocation needs. A process that restarts after a failure
     * serves nothing until it is up, and describing commands that it does not run took two fifths of that time.
     *
     * @param platforms opens clients of the platform.
     * @param arguments the arguments of the invocation.
     * @return a command line with only the command that the first argument names if that runs a role, else with all.
     */
    static CommandLine commandLine(PlatformFactory platforms, String[] arguments) {
        Map<String, Supplier<Object>> factories = commandFactories(platforms);
        if (arguments.length > 0 && ROLE_COMMANDS.contains(arguments[0])) {
            factories.keySet().retainAll(Set.of(arguments[0]));
        }
        return commandLine(factories);
    }

    /**
     * Creates a command line with all commands.
     *
     * @param platforms opens clients of the platform.
     * @return the command line.
     */
    static CommandLine commandLine(PlatformFactory platforms) {
        return commandLine(commandFactories(platforms));
    }

    private static Map<String, Supplier<Object>> commandFactories(PlatformFactory platforms) {
        Map<String, Supplier<Object>> factories = new LinkedHashMap<>();
        factories.put("entry", EntryCommand::new);
        factories.put("side", SideCommand::new);
        factories.put("hosted", HostedCommand::new);
        factories.put("rehearse", RehearseCommand::new);
        factories.put("bundle", () -> new BundleCommand(platforms));
        factories.put("dump", DumpCommand::new);
        factories.put("explain", ExplainCommand::new);
        factories.put("demo", DemoCommand::new);
        factories.put("capacity", CapacityCommand::new);
        factories.put("bench", BenchCommand::new);
        factories.put("standin", StandinCommand::new);
        factories.put("completion", CompletionCommand::new);
        return factories;
    }

    private static CommandLine commandLine(Map<String, Supplier<Object>> factories) {
        CommandLine root = new CommandLine(new Main());
        factories.forEach((name, factory) -> root.addSubcommand(name, factory.get()));
        describeExitCodes(root);
        root.setCaseInsensitiveEnumValuesAllowed(true);
        return root.setExecutionExceptionHandler(Main::reportFailure);
    }

    /** {@inheritDoc} */
    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is required");
    }

    /** Prints the failure to the operator in one line and logs its stack trace at DEBUG. */
    private static int reportFailure(Exception failure, CommandLine command, ParseResult arguments) {
        command.getErr().println(command.getCommandSpec().qualifiedName() + " failed: " + failure);
        System.getLogger("waxwingquay.command").log(System.Logger.Level.DEBUG, "command: a command failed.", failure);
        return ExitCodes.FAILED;
    }

    private static void describeExitCodes(CommandLine command) {
        command.getCommandSpec()
                .usageMessage()
                .exitCodeListHeading("%nExit codes:%n")
                .exitCodeList(ExitCodes.descriptions());
        command.getSubcommands().values().forEach(Main::describeExitCodes);
    }
}
