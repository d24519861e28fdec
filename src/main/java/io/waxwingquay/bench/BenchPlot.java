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

/** Plots the attained share of requests over time, one line for each policy: the mean over its seeds. */
final class BenchPlot {

    private static final int WIDTH_PIXELS = 1_100;
    private static final int HEIGHT_PIXELS = 600;

    private BenchPlot() {}

    static void write(Path file, String title, Map<String, List<RunResult>> byPolicy) throws IOException {
        XYSeriesCollection dataset = new XYSeriesCollection();
        byPolicy.forEach((policy, runs) -> dataset.addSeries(meanSeries(policy, runs)));
        JFreeChart chart = ChartFactory.createXYLineChart(
                title, "seconds", "share of requests answered within their deadline", dataset);
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PIXELS, HEIGHT_PIXELS);
    }

    private static XYSeries meanSeries(String policy, List<RunResult> runs) {
        XYSeries series = new XYSeries(policy);
        int seconds = runs.get(0).attainedShareBySecond().size();
        for (int second = 0; second < seconds; second++) {
            int index = second;
            series.add(
                    index,
                    runs.stream()
                            .mapToDouble(run -> run.attainedShareBySecond().get(index))
                            .average()
                            .orElse(0));
        }
        return series;
    }
}
