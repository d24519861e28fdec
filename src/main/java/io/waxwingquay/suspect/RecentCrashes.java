package io.waxwingquay.suspect;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/** The crashes that became known lately, whatever ran at them, which tell how likely one is by chance. */
final class RecentCrashes {

    private static final long RECENT_MILLIS = 30_000L;

    /** As long as news names a crash: one that was forgotten sooner would count as recent once more. */
    private static final long RETENTION_MILLIS = 600_000L;

    private static final int MAX_CRASHES = 1_024;

    private final LongSupplier clockMillis;
    private final long newsMillis;
    private final Map<Long, Long> firstKnownMillisByCrash = new LinkedHashMap<>();

    /**
     * Creates an empty record.
     *
     * @param clockMillis the monotonic clock.
     * @param newsMillis the time within which crashes that happen together become known.
     */
    RecentCrashes(LongSupplier clockMillis, long newsMillis) {
        this.clockMillis = clockMillis;
        this.newsMillis = newsMillis;
    }

    void add(long crash) {
        long nowMillis = clockMillis.getAsLong();
        firstKnownMillisByCrash.values().removeIf(firstKnownMillis -> firstKnownMillis < nowMillis - RETENTION_MILLIS);
        firstKnownMillisByCrash.putIfAbsent(crash, nowMillis);
        if (firstKnownMillisByCrash.size() > MAX_CRASHES) {
            firstKnownMillisByCrash.remove(
                    firstKnownMillisByCrash.keySet().iterator().next());
        }
    }

    /**
     * Returns whether so many crashes happened without a part that it may be at a few by chance. Those that became known
     * about together, such as those of a power loss, count as one.
     */
    boolean mayCoincideWith(CrashChain chain) {
        long recentSinceMillis = clockMillis.getAsLong() - RECENT_MILLIS;
        long others = firstKnownMillisByCrash.entrySet().stream()
                .filter(crash -> crash.getValue() >= recentSinceMillis)
                .filter(crash -> !chain.knows(crash.getKey()))
                .map(crash -> crash.getValue() / newsMillis)
                .distinct()
                .count();
        return others > chain.countOpenCrashes() + 1;
    }
}
