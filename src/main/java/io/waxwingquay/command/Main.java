package io.waxwingquay.command;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The one binary: a subcommand for each role and each operator action.
 */
@Command(name = "waxwingquay", mixinStandardHelpOptions = true, version = "waxwingquay 0.1.0")
public final class Main {

    private Main() {}

    /**
     * Starts the command line.
     *
     * @param arguments the arguments.
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new Main()).execute(arguments));
    }
}
