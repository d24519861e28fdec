package io.waxwingquay.bench;

import com.fasterxml.jackson.databind.SerializationFeature;
import io.waxwingquay.common.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/** Reports the results of all policies and seeds of a benchmark as a text table, CSV and JSON. */
final class BenchReport {

    private static final List<Column> COLUMNS = List.of(
            new Column("attained/acc/s", "%.2f", RunResult::attainedPerAcceleratorSecond),
            new Column("attained share", "%.3f", RunResult::attainedShare),
            new Column("model moves", "%.0f", RunResult::modelMoves),
            new Column("adapter moves", "%.0f", RunResult::adapterMoves),
            new Column("did_not_run", "%.0f", RunResult::refusedDidNotRun),
            new Column("unknown", "%.0f", RunResult::refusedUnknown),
            new Column("late", "%.0f", RunResult::late),
            new Column("ttft p50 ms", "%.0f", RunResult::firstTokenP50Millis),
            new Column("ttft p99 ms", "%.0f", RunResult::firstTokenP99Millis),
            new Column("plain share", "%.3f", run -> (double) run.plainAttained() / Math.max(1, run.plainSent())),
            new Column("most runs/key", "%.0f", RunResult::mostRunsOfOneKey),
            new Column("share before", "%.3f", RunResult::beforeShare),
            new Column("share after", "%.3f", RunResult::afterShare),
            new Column("recover s", "%.1f", RunResult::recoverSeconds),
            new Column("max model loads", "%.0f", RunResult::modelLoadsAtOnce),
            new Column("max adapter loads", "%.0f", RunResult::adapterLoadsAtOnce),
            new Column("over limit", "%.0f", RunResult::overLimit),
            new Column("overcommits", "%.0f", RunResult::overcommits),
            new Column("bench late ms", "%.0f", RunResult::latestSendMillis));
    private static final int TITLE_WIDTH = 20;
    private static final int CELL_WIDTH = 21;

    private final List<RunResult> runs;

    BenchReport(List<RunResult> runs) {
        this.runs = runs;
    }

    Map<String, List<RunResult>> byPolicy() {
        return runs.stream().collect(Collectors.groupingBy(RunResult::policy, LinkedHashMap::new, Collectors.toList()));
    }

    /** Returns a table with a column for each policy. A cell holds the median and the range over the seeds. */
    String toTable() {
        StringBuilder text = new StringBuilder();
        text.append(padRight("median [least..most]", TITLE_WIDTH));
        byPolicy().keySet().forEach(policy -> text.append(padRight(policy, CELL_WIDTH)));
        text.append('\n');
        COLUMNS.forEach(column -> {
            text.append(padRight(column.title(), TITLE_WIDTH));
            byPolicy().values().forEach(policyRuns -> text.append(padRight(column.cell(policyRuns), CELL_WIDTH)));
            text.append('\n');
        });
        return text.toString();
    }

    void write(Path directory, String name) throws IOException {
        Files.createDirectories(directory);
        Files.writeString(directory.resolve(name + ".txt"), toTable());
        Files.writeString(directory.resolve(name + ".csv"), toCsv());
        Files.write(
                directory.resolve(name + ".json"),
                Json.MAPPER.writer(SerializationFeature.INDENT_OUTPUT).writeValueAsBytes(runs));
    }

    private String toCsv() {
        String header = "workload,fault,policy,seed,"
                + COLUMNS.stream().map(Column::title).collect(Collectors.joining(",")) + "\n";
        return runs.stream()
                .map(run -> run.workload() + "," + run.fault() + "," + run.policy() + "," + run.seed() + ","
                        + COLUMNS.stream()
                                .map(column -> String.format(
                                        Locale.ROOT, "%.4f", column.value().applyAsDouble(run)))
                                .collect(Collectors.joining(",")))
                .collect(Collectors.joining("\n", header, "\n"));
    }

    private static String padRight(String text, int width) {
        return String.format(Locale.ROOT, "%-" + width + "s", text);
    }

    private record Column(String title, String format, ToDoubleFunction<RunResult> value) {

        String cell(List<RunResult> policyRuns) {
            double[] sorted = policyRuns.stream().mapToDouble(value).sorted().toArray();
            double median = (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
            return formatValue(median) + " [" + formatValue(sorted[0]) + ".." + formatValue(sorted[sorted.length - 1])
                    + "]";
        }

        private String formatValue(double number) {
            return String.format(Locale.ROOT, format, number);
        }
    }
}
