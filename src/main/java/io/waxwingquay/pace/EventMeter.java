package io.waxwingquay.pace;

import io.waxwingquay.fleet.RunningRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Measures the time for one event over spans of several reports. Reports are closer together than events, so that the counts
 * of two reports in a row say little.
 *
 * <p>Only streams count that are in each report of the span and had an event at its start: the first event includes the
 * prompt. Of these, the ones whose counts are far from the median are left out, as they were preempted meanwhile.
 */
final class EventMeter {

    /** Shortest span of a measurement. */
    private static final long MIN_SPAN_MILLIS = 400L;

    /** Events of the median stream by which a span may end; with fewer the coarse counts are too inexact. */
    private static final long MIN_EVENTS = 4L;

    /** Longest span of a measurement; few streams last longer. */
    private static final long MAX_SPAN_MILLIS = 2_000L;

    /** Longest time between two reports of a span; at rest there is one every 200 ms. */
    private static final long MAX_REPORT_GAP_MILLIS = 500L;

    /** Distance from the median count up to which a stream counts: events of streams are not in phase. */
    private static final long MAX_COUNT_DISTANCE = 1L;

    private final Map<String, Count> counts = new HashMap<>();
    private List<RunningRequest> latest = List.of();
    private long latestAtMillis;
    private boolean hasReport;
    private long startedAtMillis;
    private double startedAtTokens;
    private long reports;
    private long batchSum;

    /**
     * Takes a report.
     *
     * @param runs the requests that the engine runs.
     * @param readTokens the prompt tokens that it has read up to now, from any start.
     * @param nowMillis the monotonic time.
     * @return a sample if the report ends a span.
     */
    Optional<EventSample> observe(List<RunningRequest> runs, double readTokens, long nowMillis) {
        boolean isLate = hasReport && nowMillis - latestAtMillis > MAX_REPORT_GAP_MILLIS;
        boolean isRepeated = hasReport && runs.equals(latest);
        latest = runs;
        latestAtMillis = nowMillis;
        hasReport = true;
        if (isLate) {
            // The time at which such a report was made is unknown, so it starts no span either.
            counts.clear();
            return Optional.empty();
        }
        return isRepeated ? Optional.empty() : advance(runs, readTokens, nowMillis);
    }

    private Optional<EventSample> advance(List<RunningRequest> runs, double readTokens, long nowMillis) {
        update(runs);
        long spanMillis = nowMillis - startedAtMillis;
        if (counts.isEmpty() || spanMillis > MAX_SPAN_MILLIS || spanMillis < 0) {
            start(runs, readTokens, nowMillis);
            return Optional.empty();
        }
        reports++;
        batchSum += producing(runs);
        double events = typicalEvents();
        if (spanMillis < MIN_SPAN_MILLIS || events < MIN_EVENTS) {
            return Optional.empty();
        }
        EventSample sample = new EventSample(
                spanMillis / events, (double) batchSum / reports, Math.max(0, readTokens - startedAtTokens) / events);
        start(runs, readTokens, nowMillis);
        return Optional.of(sample);
    }

    /** Starts a span at a report. */
    private void start(List<RunningRequest> runs, double readTokens, long nowMillis) {
        counts.clear();
        runs.stream()
                .filter(run -> run.events() > 0)
                .forEach(run -> counts.put(run.attemptId(), new Count(run.events(), run.events())));
        startedAtMillis = nowMillis;
        startedAtTokens = readTokens;
        reports = 1;
        batchSum = producing(runs);
    }

    /** Updates the counts, and drops streams that are not in the report or whose counts have fallen. */
    private void update(List<RunningRequest> runs) {
        Map<String, Count> continued = new HashMap<>();
        runs.forEach(run -> Optional.ofNullable(counts.get(run.attemptId()))
                .filter(count -> count.latestEvents <= run.events())
                .ifPresent(count -> continued.put(run.attemptId(), new Count(count.startEvents, run.events()))));
        counts.clear();
        counts.putAll(continued);
    }

    /** Returns the mean of the counts that are near the median. */
    private double typicalEvents() {
        long[] sorted =
                counts.values().stream().mapToLong(Count::events).sorted().toArray();
        long median = sorted[sorted.length / 2];
        return counts.values().stream()
                .mapToLong(Count::events)
                .filter(events -> Math.abs(events - median) <= MAX_COUNT_DISTANCE)
                .average()
                .orElse(0);
    }

    private static long producing(List<RunningRequest> runs) {
        return runs.stream().filter(run -> run.events() > 0).count();
    }

    private record Count(long startEvents, long latestEvents) {

        private long events() {
            return latestEvents - startEvents;
        }
    }
}
