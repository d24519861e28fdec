package io.waxwingquay.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Draws the share of requests attained over time, a line for each policy: the mean over the seeds. */
final class BenchPlot {

    private static final int WIDTH = 1_100;
    private static final int HEIGHT = 600;

    private BenchPlot() {}

    static void write(Path file, String title, Map<String, List<RunResult>> byPolicy) throws IOException {
        XYSeriesCollection lines = new XYSeriesCollection();
        byPolicy.forEach((policy, runs) -> lines.addSeries(line(policy, runs)));
        JFreeChart chart = ChartFactory.createXYLineChart(
                title, "seconds", "share of requests answered within their deadline", lines);
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
    }

    private static XYSeries line(String policy, List<RunResult> runs) {
        XYSeries line = new XYSeries(policy);
        int seconds = runs.get(0).attainedShareBySecond().size();
        for (int second = 0; second < seconds; second++) {
            int at = second;
            line.add(
                    at,
                    runs.stream()
                            .mapToDouble(run -> run.attainedShareBySecond().get(at))
                            .average()
                            .orElse(0));
        }
        return line;
    }
}
