package io.waxwingquay.command;

import io.waxwingquay.bench.Overhead;
import io.waxwingquay.bench.PolicyBenchmark;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Benchmarks policies against stand-ins that run in this process.
 */
@Command(
        name = "bench",
        description = "Benchmarks policies under load and faults, with real entries and sides in front of stand-ins.",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {BenchCommand.Run.class, BenchCommand.OverheadRun.class})
final class BenchCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    /** {@inheritDoc} */
    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is required");
    }

    /** Runs one workload under one or more policies and writes the reports. */
    @Command(
            name = "run",
            description =
                    "Runs one workload under each policy with the same seeds and writes a table, CSV, JSON and PNG.",
            mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {

        @Spec
        private CommandSpec spec;

        @Option(names = "--workload", required = true, description = "tamworth or claywheel")
        private String workload;

        @Option(names = "--policy", split = ",", required = true, description = "names of one or more policies")
        private List<String> policies;

        @Option(
                names = "--seeds",
                defaultValue = "5",
                description = "number of seeds, starting at 1 (default ${DEFAULT-VALUE})")
        private int seeds;

        @Option(
                names = "--seconds",
                defaultValue = "20",
                description = "seconds of load per run (default ${DEFAULT-VALUE})")
        private int seconds;

        @Option(
                names = "--fault",
                defaultValue = "none",
                description = "none, target-death, data-centre-loss, store-outage, tenfold or slow-weights")
        private String fault;

        @Option(
                names = "--bundles",
                defaultValue = "examples",
                description = "directory that contains the bundle files")
        private Path bundles;

        @Option(names = "--out", required = true, description = "directory for the report")
        private Path directory;

        /** {@inheritDoc} */
        @Override
        public Integer call() throws Exception {
            bench().run(spec.commandLine().getOut());
            return ExitCodes.OK;
        }

        private PolicyBenchmark bench() {
            try {
                return new PolicyBenchmark(workload, policies, seeds, seconds, fault, bundles, directory);
            } catch (IllegalArgumentException invalid) {
                throw new ParameterException(spec.commandLine(), invalid.getMessage(), invalid);
            }
        }
    }

    /** Measures the overhead that the path through entry and side adds to a call. */
    @Command(
            name = "overhead",
            description = "Compares calls through entry and side with direct calls to the same stand-in.",
            mixinStandardHelpOptions = true)
    static final class OverheadRun implements Callable<Integer> {

        @Spec
        private CommandSpec spec;

        @Option(names = "--rates", split = ",", defaultValue = "20,50,100,200", description = "requests a second")
        private List<Integer> perSecond;

        @Option(
                names = "--seconds",
                defaultValue = "8",
                description = "seconds of load per rate (default ${DEFAULT-VALUE})")
        private int seconds;

        /** {@inheritDoc} */
        @Override
        public Integer call() throws Exception {
            new Overhead(perSecond, seconds).run(spec.commandLine().getOut());
            return ExitCodes.OK;
        }
    }
}
