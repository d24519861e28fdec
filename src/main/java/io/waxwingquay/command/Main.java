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
 * The one binary: a subcommand for each role and each operator action.
 */
@Command(
        name = "waxwingquay",
        description = "Serves many models on fewer accelerators, driven only by signed, versioned bundles.",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        version = "waxwingquay 0.1.0")
public final class Main implements Runnable {

    /** The commands that run until they are stopped. */
    private static final Set<String> ROLES = Set.of("entry", "side", "hosted");

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
        System.exit(commandLine(HttpPlatform::open, arguments).execute(arguments));
    }

    /**
     * The command line as far as one call needs it. A process that is started again after a failure is missed until it
     * answers, and describing commands that it does not run was two fifths of the time until then.
     *
     * @param platforms opens clients of the platform.
     * @param arguments the arguments of the call.
     * @return the command that the first argument names if it runs a role, else all.
     */
    static CommandLine commandLine(PlatformFactory platforms, String[] arguments) {
        Map<String, Supplier<Object>> commands = commands(platforms);
        if (arguments.length > 0 && ROLES.contains(arguments[0])) {
            commands.keySet().retainAll(Set.of(arguments[0]));
        }
        return commandLine(commands);
    }

    /**
     * The whole command line.
     *
     * @param platforms opens clients of the platform.
     * @return the command line.
     */
    static CommandLine commandLine(PlatformFactory platforms) {
        return commandLine(commands(platforms));
    }

    private static Map<String, Supplier<Object>> commands(PlatformFactory platforms) {
        Map<String, Supplier<Object>> commands = new LinkedHashMap<>();
        commands.put("entry", EntryCommand::new);
        commands.put("side", SideCommand::new);
        commands.put("hosted", HostedCommand::new);
        commands.put("rehearse", RehearseCommand::new);
        commands.put("bundle", () -> new BundleCommand(platforms));
        commands.put("dump", DumpCommand::new);
        commands.put("explain", ExplainCommand::new);
        commands.put("demo", DemoCommand::new);
        commands.put("capacity", CapacityCommand::new);
        commands.put("bench", BenchCommand::new);
        commands.put("standin", StandinCommand::new);
        commands.put("completion", CompletionCommand::new);
        return commands;
    }

    private static CommandLine commandLine(Map<String, Supplier<Object>> commands) {
        CommandLine root = new CommandLine(new Main());
        commands.forEach((name, command) -> root.addSubcommand(name, command.get()));
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
