package io.waxwingquay.explain;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.data.category.DefaultCategoryDataset;

/**
 * Counts requests by {@link Loss}, grouped by route and by time window of arrival.
 */
public final class LossReport {

    private static final int CHART_WIDTH_PIXELS = 1_100;
    private static final int CHART_HEIGHT_PIXELS = 600;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final int LABEL_COLUMN_CHARACTERS = 22;
    private static final int MINIMUM_COLUMN_CHARACTERS = 8;

    private final Map<String, Map<Loss, Long>> byRoute;
    private final Map<String, Map<Loss, Long>> byWindow;
    private final List<Loss> observedLosses;

    private LossReport(Map<String, Map<Loss, Long>> byRoute, Map<String, Map<Loss, Long>> byWindow) {
        this.byRoute = byRoute;
        this.byWindow = byWindow;
        this.observedLosses = Stream.of(Loss.values())
                .filter(loss -> byRoute.values().stream().anyMatch(counts -> counts.containsKey(loss)))
                .toList();
    }

    /**
     * Creates a report on requests.
     *
     * @param requests the requests.
     * @param windowMillis the length of a time window.
     * @return the report.
     */
    public static LossReport of(Collection<EndedRequest> requests, long windowMillis) {
        long firstArrivalMillis =
                requests.stream().mapToLong(EndedRequest::arrivedAtMillis).min().orElse(0);
        return new LossReport(
                count(requests, EndedRequest::route),
                count(requests, request -> windowLabel(request.arrivedAtMillis() - firstArrivalMillis, windowMillis)));
    }

    private static Map<String, Map<Loss, Long>> count(
            Collection<EndedRequest> requests, Function<EndedRequest, String> key) {
        return requests.stream()
                .collect(Collectors.groupingBy(
                        key,
                        TreeMap::new,
                        Collectors.groupingBy(Loss::of, () -> new EnumMap<>(Loss.class), Collectors.counting())));
    }

    /** Pads the label, so that labels sort by time. */
    private static String windowLabel(long elapsedMillis, long windowMillis) {
        return String.format("%8.1f", elapsedMillis / windowMillis * windowMillis / MILLIS_PER_SECOND);
    }

    /**
     * Formats the counts as two tables, with one row per route and one row per time window.
     *
     * @return the tables as text.
     */
    public String table() {
        return table("route", byRoute) + System.lineSeparator() + table("seconds", byWindow);
    }

    private String table(String title, Map<String, Map<Loss, Long>> counts) {
        StringBuilder text = new StringBuilder(cell(title, LABEL_COLUMN_CHARACTERS));
        observedLosses.forEach(loss -> text.append(cell(loss.label(), columnCharacters(loss))));
        counts.forEach((key, byLoss) -> {
            text.append(System.lineSeparator()).append(cell(key, LABEL_COLUMN_CHARACTERS));
            observedLosses.forEach(
                    loss -> text.append(cell(Long.toString(byLoss.getOrDefault(loss, 0L)), columnCharacters(loss))));
        });
        return text.append(System.lineSeparator()).toString();
    }

    private static int columnCharacters(Loss loss) {
        return Math.max(MINIMUM_COLUMN_CHARACTERS, loss.label().length() + 2);
    }

    private static String cell(String text, int characters) {
        return String.format("%" + characters + "s", text);
    }

    /**
     * Formats the counts as JSON: one object for routes and one for time windows, each with an object of counts by
     * label.
     *
     * @return the JSON.
     */
    public String json() {
        ObjectNode root = new JsonMapper().createObjectNode();
        fill(root.putObject("by_route"), byRoute);
        fill(root.putObject("by_second"), byWindow);
        return root.toPrettyString();
    }

    private static void fill(ObjectNode parent, Map<String, Map<Loss, Long>> counts) {
        counts.forEach((key, byLoss) -> {
            ObjectNode row = parent.putObject(key.strip());
            byLoss.forEach((loss, count) -> row.put(loss.label(), count));
        });
    }

    /**
     * Draws the counts by time window as a stacked bar chart.
     *
     * @param file the PNG file to write.
     * @throws IOException if the file cannot be written.
     */
    public void plot(Path file) throws IOException {
        DefaultCategoryDataset dataset = new DefaultCategoryDataset();
        observedLosses.forEach(loss -> byWindow.forEach(
                (window, byLoss) -> dataset.addValue(byLoss.getOrDefault(loss, 0L), loss.label(), window.strip())));
        ChartUtils.saveChartAsPNG(
                file.toFile(),
                ChartFactory.createStackedBarChart("What became of requests", "seconds", "requests", dataset),
                CHART_WIDTH_PIXELS,
                CHART_HEIGHT_PIXELS);
    }
}
