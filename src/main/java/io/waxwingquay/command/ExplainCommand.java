package io.waxwingquay.command;

import io.waxwingquay.explain.EndedRequest;
import io.waxwingquay.explain.LossReport;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Reports from the logs of entries which requests were not served in time, when, and why.
 */
@Command(
        name = "explain",
        description = "Reads the logs of entries and counts refused, lost and late requests by reason.",
        mixinStandardHelpOptions = true)
final class ExplainCommand implements Callable<Integer> {

    private static final long MILLIS_PER_SECOND = 1_000L;

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "1..*", paramLabel = "LOG", description = "Log files of entries, in any order.")
    private List<Path> logs;

    @Option(
            names = "--window-seconds",
            defaultValue = "2",
            description = "Length of a time window in seconds (default ${DEFAULT-VALUE}).")
    private long windowSeconds;

    @Option(names = "--json", description = "Print JSON instead of tables.")
    private boolean json;

    @Option(names = "--plot", paramLabel = "FILE", description = "Also plot the counts per window as a PNG.")
    private Optional<Path> plot;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        if (windowSeconds < 1) {
            throw new ParameterException(
                    spec.commandLine(), "--window-seconds must be 1 or more, not " + windowSeconds);
        }
        List<EndedRequest> requests = new ArrayList<>();
        logs.forEach(log -> requests.addAll(read(log)));
        if (requests.isEmpty()) {
            throw new ParameterException(
                    spec.commandLine(),
                    "no completed request in " + logs + ": pass logs that entries wrote at level info");
        }
        LossReport report = LossReport.of(requests, windowSeconds * MILLIS_PER_SECOND);
        spec.commandLine().getOut().println(json ? report.json() : report.table());
        plot.ifPresent(file -> draw(report, file));
        return ExitCodes.OK;
    }

    private List<EndedRequest> read(Path log) {
        // ISO 8859-1 accepts any byte, so an invalid byte affects its own line only.
        try (Stream<String> lines = Files.lines(log, StandardCharsets.ISO_8859_1)) {
            return lines.map(EndedRequest::parse).flatMap(Optional::stream).toList();
        } catch (IOException failure) {
            throw new ParameterException(spec.commandLine(), "log " + log + " can't be read: " + failure.getMessage());
        }
    }

    private void draw(LossReport report, Path file) {
        try {
            report.plot(file);
        } catch (IOException failure) {
            throw new ParameterException(
                    spec.commandLine(), "--plot " + file + " can't be written: " + failure.getMessage());
        }
    }
}
