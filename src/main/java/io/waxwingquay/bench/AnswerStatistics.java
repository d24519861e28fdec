package io.waxwingquay.bench;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects statistics of the answers that callers received. Safe for concurrent use. */
final class AnswerStatistics {

    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double MICROS_PER_SECOND = 1_000_000.0;
    private static final String DID_NOT_RUN = "did_not_run";
    private static final double RECOVERED_SHARE = 0.95;
    private static final int RECOVERY_WINDOW_SECONDS = 2;
    private static final int WARM_UP_SECONDS = 2;

    private final Histogram firstTokenMicros = new Histogram(3);
    private final Map<String, Integer> failures = new TreeMap<>();
    private final long[] sentBySecond;
    private final long[] attainedBySecond;
    private long attained;
    private long late;
    private long refusedDidNotRun;
    private long refusedUnknown;
    private long plainAttained;

    AnswerStatistics(int seconds) {
        sentBySecond = new long[seconds];
        attainedBySecond = new long[seconds];
    }

    synchronized void record(Arrival arrival, CallerAnswer answer) {
        boolean inTime = answer.isWhole() && answer.totalMicros() <= arrival.deadlineMillis() * MICROS_PER_MILLI;
        if (arrival.call().isPresent()) {
            plainAttained += inTime ? 1 : 0;
            return;
        }
        int second = (int) (arrival.atMicros() / MICROS_PER_SECOND);
        sentBySecond[second]++;
        answer.firstTokenMicros().ifPresent(firstTokenMicros::recordValue);
        if (inTime) {
            attained++;
            attainedBySecond[second]++;
        } else if (answer.isWhole()) {
            late++;
        } else {
            recordFailure(arrival, answer);
        }
    }

    private void recordFailure(Arrival arrival, CallerAnswer answer) {
        String code = answer.error().map(CallerAnswer.Error::code).orElse("broken connection");
        String execution = answer.error().map(CallerAnswer.Error::execution).orElse("unknown");
        if (execution.equals(DID_NOT_RUN)) {
            refusedDidNotRun++;
        } else {
            refusedUnknown++;
        }
        String model = arrival.completion().map(Caller.Completion::model).orElse("");
        failures.merge(code + "/" + execution + " " + model, 1, Integer::sum);
    }

    synchronized Counts counts() {
        return new Counts(
                Arrays.stream(sentBySecond).sum(),
                attained,
                late,
                refusedDidNotRun,
                refusedUnknown,
                plainAttained,
                firstTokenMicros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                firstTokenMicros.getValueAtPercentile(99) / MICROS_PER_MILLI);
    }

    synchronized Map<String, Integer> failures() {
        return Map.copyOf(failures);
    }

    synchronized List<Double> attainedShareBySecond() {
        return java.util.stream.IntStream.range(0, sentBySecond.length)
                .mapToObj(second -> attainedShare(second, second + 1))
                .toList();
    }

    /** Returns the attained share of the requests that were sent from one second up to, but not including, another. */
    synchronized double attainedShare(int fromSecond, int toSecond) {
        long sent = Arrays.stream(sentBySecond, fromSecond, toSecond).sum();
        return sent == 0
                ? 1
                : (double) Arrays.stream(attainedBySecond, fromSecond, toSecond).sum() / sent;
    }

    double attainedShareBeforeFault(double faultSeconds) {
        return attainedShare(WARM_UP_SECONDS, Math.max(WARM_UP_SECONDS + 1, (int) faultSeconds));
    }

    /** Returns the seconds from the fault's end to the first window with 95% of the share before it; -1 if none has. */
    double recoverSeconds(double faultSeconds, double endSeconds) {
        double requiredShare = RECOVERED_SHARE * attainedShareBeforeFault(faultSeconds);
        int end = (int) Math.ceil(endSeconds);
        for (int second = end; second + RECOVERY_WINDOW_SECONDS <= sentBySecond.length; second++) {
            if (attainedShare(second, second + RECOVERY_WINDOW_SECONDS) >= requiredShare) {
                return second - endSeconds;
            }
        }
        return -1;
    }

    /** The counts of a whole run. */
    record Counts(
            long sent,
            long attained,
            long late,
            long refusedDidNotRun,
            long refusedUnknown,
            long plainAttained,
            double firstTokenP50Millis,
            double firstTokenP99Millis) {}
}
