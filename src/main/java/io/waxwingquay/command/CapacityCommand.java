package io.waxwingquay.command;

import io.waxwingquay.bench.capacity.Capacity;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Measures the slopes behind docs/CAPACITY.md.
 */
@Command(
        name = "capacity",
        description = "Raises entries, sides, models and residency step by step and prints costs, fits and errors.",
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
