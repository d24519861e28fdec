package io.waxwingquay.command;

import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * Prints a shell completion script.
 */
@Command(
        name = "completion",
        description = "Prints a completion script for bash and zsh; use: source <(waxwingquay completion)",
        mixinStandardHelpOptions = true)
final class CompletionCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        String script = AutoComplete.bash("waxwingquay", spec.root().commandLine());
        spec.commandLine().getOut().println(script);
        return ExitCodes.OK;
    }
}
