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
 * Measures policies on stand-ins in this process.
 */
@Command(
        name = "bench",
        description = "Measures policies under load and faults, on real entries and sides before stand-ins.",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {BenchCommand.Run.class, BenchCommand.OverheadRun.class})
final class BenchCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    /** {@inheritDoc} */
    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is needed");
    }

    /** Runs a workload under several policies. */
    @Command(
            name = "run",
            description =
                    "Runs one workload under each policy with the same seeds, and writes table, CSV, JSON and PNG.",
            mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {

        @Spec
        private CommandSpec spec;

        @Option(names = "--workload", required = true, description = "tamworth or claywheel")
        private String workload;

        @Option(names = "--policy", split = ",", required = true, description = "one policy or several, by name")
        private List<String> policies;

        @Option(names = "--seeds", defaultValue = "5", description = "seeds, from 1 (default ${DEFAULT-VALUE})")
        private int seeds;

        @Option(names = "--seconds", defaultValue = "20", description = "seconds of load a run (${DEFAULT-VALUE})")
        private int seconds;

        @Option(
                names = "--fault",
                defaultValue = "none",
                description = "none, target-death, data-centre-loss, store-outage, tenfold or slow-weights")
        private String fault;

        @Option(names = "--bundles", defaultValue = "examples", description = "directory of the bundle files")
        private Path bundles;

        @Option(names = "--out", required = true, description = "directory of the report")
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
            } catch (IllegalArgumentException wrong) {
                throw new ParameterException(spec.commandLine(), wrong.getMessage(), wrong);
            }
        }
    }

    /** Measures the path. */
    @Command(
            name = "overhead",
            description = "Measures calls through entry and side against direct calls to the same stand-in.",
            mixinStandardHelpOptions = true)
    static final class OverheadRun implements Callable<Integer> {

        @Spec
        private CommandSpec spec;

        @Option(names = "--rates", split = ",", defaultValue = "20,50,100,200", description = "requests a second")
        private List<Integer> perSecond;

        @Option(names = "--seconds", defaultValue = "8", description = "seconds for each rate (${DEFAULT-VALUE})")
        private int seconds;

        /** {@inheritDoc} */
        @Override
        public Integer call() throws Exception {
            new Overhead(perSecond, seconds).run(spec.commandLine().getOut());
            return ExitCodes.OK;
        }
    }
}
