package io.waxwingquay.command;

import io.waxwingquay.settings.ProcessSettings.LogLevel;
import java.io.PrintWriter;
import java.util.Arrays;
import java.util.Optional;

/**
 * Starts a role as the prepared platform does: its name is the only argument, all else is in the settings file. The
 * command {@code waxwingquay hosted} does the same with options.
 *
 * <p>A process that is started again after a failure is missed until it answers. The class archive can't hold the classes
 * of the command line's library, and loading them takes longer than all others together.
 */
public final class HostedMain {

    private HostedMain() {}

    /**
     * Runs the role until SIGTERM.
     *
     * @param arguments the role's name.
     * @throws InterruptedException if the process is interrupted while it runs.
     */
    public static void main(String[] arguments) throws InterruptedException {
        PrintWriter errors = new PrintWriter(System.err, true);
        Optional<HostedRole> role = parseRole(arguments);
        if (role.isEmpty()) {
            errors.println("the name of one role is needed, " + Arrays.toString(HostedRole.values())
                    + ", and no option; 'hosted --help' tells of options");
            System.exit(ExitCodes.USAGE);
        }
        System.exit(role.get().run(HostedRole.defaultSettingsFile(), LogLevel.INFO, errors));
    }

    static Optional<HostedRole> parseRole(String... arguments) {
        return Arrays.stream(HostedRole.values())
                .filter(candidate -> arguments.length == 1 && candidate.name().equalsIgnoreCase(arguments[0]))
                .findFirst();
    }
}
