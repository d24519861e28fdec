package io.waxwingquay.command;

import io.waxwingquay.bench.capacity.Capacity;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Measures how costs grow with the size of a deployment; docs/CAPACITY.md is based on its output.
 */
@Command(
        name = "capacity",
        description = "Scales entries, sides, models and residency step by step and prints costs, fits and errors.",
        mixinStandardHelpOptions = true)
final class CapacityCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Parameters(
            arity = "0..1",
            defaultValue = "ALL",
            description = "One of ${COMPLETION-CANDIDATES} (default ${DEFAULT-VALUE}).")
    private Capacity.Part part;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        new Capacity(spec.commandLine().getOut()).run(part);
        return ExitCodes.OK;
    }
}
