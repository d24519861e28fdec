package io.waxwingquay.command;

import io.waxwingquay.bench.Demo;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * Runs entries, sides and stand-ins in this process as a demonstration.
 */
@Command(
        name = "demo",
        description = "Runs entries, sides and stand-ins in this process under a short load and prints a summary.",
        mixinStandardHelpOptions = true)
final class DemoCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    /** {@inheritDoc} */
    @Override
    public Integer call() throws Exception {
        return new Demo(spec.commandLine().getOut()).run() ? ExitCodes.OK : ExitCodes.FAILED;
    }
}
