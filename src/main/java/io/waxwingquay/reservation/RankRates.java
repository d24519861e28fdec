package io.waxwingquay.reservation;

import io.waxwingquay.common.DecayingSum;
import java.util.Collection;
import java.util.TreeMap;

/** The recent rates of events of each rank. */
final class RankRates {

    /** A rank without any event for so long has no rate. */
    static final long SILENT_MILLIS = 5_000L;

    /** Bounds the memory if entries send arbitrary ranks; routes and account priorities give about a dozen. */
    static final int MAX_RANKS = 64;

    private static final double HALF_LIFE_MILLIS = 2_000.0;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final TreeMap<Rank, Rate> rates = new TreeMap<>();

    /** Records an event; ignored if there are too many other ranks. */
    void add(Rank rank, long nowMillis) {
        Rate known = rates.get(rank);
        if (known == null) {
            rates.values().removeIf(rate -> rate.isSilent(nowMillis));
            if (rates.size() >= MAX_RANKS) {
                return;
            }
            known = new Rate();
            rates.put(rank, known);
        }
        known.add(nowMillis);
    }

    /** Returns the events of more urgent ranks per millisecond. */
    double perMilliAbove(Rank rank, long nowMillis) {
        return perMilli(rates.headMap(rank, false).values(), nowMillis);
    }

    /** Returns the events of a rank and less urgent ones per millisecond. */
    double perMilliFrom(Rank rank, long nowMillis) {
        return perMilli(rates.tailMap(rank, true).values(), nowMillis);
    }

    private static double perMilli(Collection<Rate> rates, long nowMillis) {
        return rates.stream().mapToDouble(rate -> rate.perSecond(nowMillis)).sum() / MILLIS_PER_SECOND;
    }

    /** Returns the number of ranks that are kept. */
    int size() {
        return rates.size();
    }

    private static final class Rate {

        private final DecayingSum events = new DecayingSum(HALF_LIFE_MILLIS);
        private long lastMillis;

        private void add(long nowMillis) {
            events.add(1, nowMillis);
            lastMillis = nowMillis;
        }

        private boolean isSilent(long nowMillis) {
            return nowMillis - lastMillis >= SILENT_MILLIS;
        }

        private double perSecond(long nowMillis) {
            return isSilent(nowMillis) ? 0 : events.perSecond(nowMillis);
        }
    }
}
