package io.waxwingquay.command;

import io.waxwingquay.settings.ProcessSettings.LogLevel;
import java.io.PrintWriter;
import java.util.Arrays;
import java.util.Optional;

/**
 * Main class that the prepared platform starts: the role's name is the only argument, and everything else is in the
 * settings file. The command {@code waxwingquay hosted} does the same with options.
 *
 * <p>It does without the command-line library because a process that restarts after a failure serves nothing until it
 * is up: the class archive can't hold the classes of that library, and loading them takes longer than loading all other
 * classes together.
 */
public final class HostedMain {

    private HostedMain() {}

    /**
     * Runs the role until SIGTERM.
     *
     * @param arguments the role's name as the only element.
     * @throws InterruptedException if the thread is interrupted while the role runs.
     */
    public static void main(String[] arguments) throws InterruptedException {
        PrintWriter errors = new PrintWriter(System.err, true);
        Optional<HostedRole> role = parseRole(arguments);
        if (role.isEmpty()) {
            errors.println("expected one argument, the name of a role, one of " + Arrays.toString(HostedRole.values())
                    + "; for options see 'hosted --help'");
            System.exit(ExitCodes.USAGE);
        }
        System.exit(role.get().run(HostedRole.defaultSettingsFile(), LogLevel.INFO, errors));
    }

    /** Returns the role that the only argument names, ignoring case; empty for any other arguments. */
    static Optional<HostedRole> parseRole(String... arguments) {
        return Arrays.stream(HostedRole.values())
                .filter(candidate -> arguments.length == 1 && candidate.name().equalsIgnoreCase(arguments[0]))
                .findFirst();
    }
}
