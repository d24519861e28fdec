package io.waxwingquay.forward;

import io.waxwingquay.common.HostPort;
import java.util.HashMap;
import java.util.Map;

/**
 * The number of entries, among which shared limits are divided. Entries learn it from the side processes of engines,
 * each of which reports how many entries send updates to it.
 *
 * <p>The greatest of the current reports counts. Failure: a side process starts and has heard only one entry so far.
 * Symptom: if its report counted, each entry that receives it would take the share of a sole entry of the retry budget,
 * of the connections and of the limits that replicas announce. A report can only be too low, as entries that are gone
 * expire at every side process within the validity of its reports. Where all processes start at once every report is too
 * low at first, so that the assumed number is the least for a while.
 */
final class EntryCount {

    /** Within this time after the first report, side processes that started with this entry have heard most entries. */
    private static final long SETTLING_MILLIS = 3_000L;

    private final Map<HostPort, Report> reports = new HashMap<>();
    private final int assumed;
    private int current;
    private long settledAtMillis = Long.MAX_VALUE;

    /**
     * Creates a count.
     *
     * @param assumed the number of entries until the first report, and the least number for some time after it.
     */
    EntryCount(int assumed) {
        this.assumed = Math.max(1, assumed);
        this.current = this.assumed;
    }

    /** Returns the number of entries, at least 1. */
    int current() {
        return current;
    }

    /**
     * Records a report.
     *
     * @param engine the address of the engine whose side process reports.
     * @param entries the number of entries that it knows; nothing is recorded if it knows none.
     * @param validMillis how long the report counts.
     * @param nowMillis the monotonic time.
     * @return whether the number of entries has changed.
     */
    boolean report(HostPort engine, int entries, long validMillis, long nowMillis) {
        if (entries <= 0) {
            return false;
        }
        if (settledAtMillis == Long.MAX_VALUE) {
            settledAtMillis = nowMillis + SETTLING_MILLIS;
        }
        reports.put(engine, new Report(entries, nowMillis + validMillis));
        reports.values().removeIf(report -> report.expiresAtMillis < nowMillis);
        int before = current;
        int least = nowMillis < settledAtMillis ? assumed : 1;
        current = reports.values().stream().mapToInt(Report::entries).reduce(least, Math::max);
        return current != before;
    }

    private record Report(int entries, long expiresAtMillis) {}
}
