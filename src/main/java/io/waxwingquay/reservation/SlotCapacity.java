package io.waxwingquay.reservation;

import java.util.Set;

/** Estimates how many slots of an engine each rank may use, and how fast they become free for it. */
final class SlotCapacity {

    /** The part of the slots that may be kept free for more urgent ranks. */
    private static final int MAX_HEADROOM_DIVISOR = 4;

    /** A smaller expectation reserves nothing, as the slot would be idle for most of the time. */
    private static final double MIN_EXPECTED_ARRIVALS = 0.2;

    /** The least part of the rate that a rank is expected to get, so that its expected wait is finite. */
    private static final double MIN_RATE_SHARE = 0.1;

    private final SlotRate rate = new SlotRate();
    private final RankRates arrivals = new RankRates();
    private final RankRates grants = new RankRates();

    /** Records a new request. */
    void requested(SlotRequest request, long nowMillis) {
        arrivals.add(request.rank(), nowMillis);
        rate.requested(request.outputTokens());
    }

    /** Records a granted slot. */
    void granted(Rank rank, long nowMillis) {
        grants.add(rank, nowMillis);
    }

    /** Takes the attempts that a report lists as running. */
    void observed(Set<String> attemptIds, long nowMillis) {
        rate.observed(attemptIds, nowMillis);
    }

    /** Forgets the attempts that ran before a restart of the engine. */
    void restarted() {
        rate.restarted();
    }

    /** Returns the usual time between two slots becoming free. */
    double intervalMillis(int slots, long nowMillis) {
        return 1 / rate.perMilli(slots, nowMillis);
    }

    /**
     * Returns the number of slots kept free for more urgent ranks: the arrivals expected before the next slot becomes
     * free.
     */
    int headroom(Rank rank, int slots, long nowMillis) {
        double arrivalsPerMilli = arrivals.perMilliAbove(rank, nowMillis);
        if (arrivalsPerMilli == 0) {
            return 0;
        }
        double expected = arrivalsPerMilli * intervalMillis(slots, nowMillis);
        int needed = expected < MIN_EXPECTED_ARRIVALS ? 0 : (int) Math.ceil(expected);
        return Math.min(slots / MAX_HEADROOM_DIVISOR, needed);
    }

    /**
     * Returns the slots per millisecond that become free for a rank, without those that more urgent ranks take. Slots that
     * were granted to it or to less urgent ranks show that at least as many are left for it, also when the difference of
     * the two estimates says less.
     */
    double perMilli(Rank rank, int slots, long nowMillis) {
        double all = rate.perMilli(slots, nowMillis);
        double left = Math.max(all - grants.perMilliAbove(rank, nowMillis), grants.perMilliFrom(rank, nowMillis));
        return Math.min(all, Math.max(all * MIN_RATE_SHARE, left));
    }
}
