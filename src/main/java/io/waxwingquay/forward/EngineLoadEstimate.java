package io.waxwingquay.forward;

import io.waxwingquay.common.DecayingSum;
import io.waxwingquay.transport.generated.EngineNews;

/**
 * Estimates the load of an engine between two of its status updates, from the requests sent from here and those that the
 * other entries are assumed to have sent meanwhile.
 */
final class EngineLoadEstimate {

    /** Half-life of the rate of requests sent from here, from which those of other entries are estimated. */
    private static final double SEND_HALF_LIFE_MILLIS = 1_000.0;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final DecayingSum recentSends = new DecayingSum(SEND_HALF_LIFE_MILLIS);
    private int inFlight;
    private int inFlightAtUpdate;
    private int sentSinceUpdate;
    private long tokensSinceUpdate;

    /** Returns the requests from here that have not ended. */
    int inFlight() {
        return inFlight;
    }

    void requestSent(long kvTokens, long nowMillis) {
        tokensSinceUpdate += kvTokens;
        recentSends.add(1, nowMillis);
        inFlight++;
        sentSinceUpdate++;
    }

    void requestEnded() {
        inFlight--;
    }

    /** Begins anew from an update that has just arrived. */
    void updated() {
        inFlightAtUpdate = inFlight;
        sentSinceUpdate = 0;
        tokensSinceUpdate = 0;
    }

    /**
     * Returns the expected requests in the engine when one sent now arrives. All entries receive the same update and
     * choose the same engine until the next, so each is assumed to have sent since in proportion to its requests there.
     *
     * @param update the last update.
     */
    int expectedLoad(EngineNews update) {
        int sentByAll = (int) Math.round(sentSinceUpdate * (1 + sentByOthersPerRequest(update)));
        return Math.max(inFlight, update.getRunning() + update.getWaiting() + sentByAll);
    }

    /**
     * Returns the requests in the engine by its last update, with the change of those from here since. Unlike
     * {@link #expectedLoad} it assumes nothing of other entries, which do not choose the same engine where slots are
     * granted.
     *
     * @param update the last update.
     */
    int reportedLoad(EngineNews update) {
        int changeSinceUpdate = inFlight - inFlightAtUpdate;
        return Math.max(inFlight, update.getRunning() + update.getWaiting() + changeSinceUpdate);
    }

    /**
     * Returns whether one more request is expected to find a slot and memory. The other entries are assumed to have sent
     * requests, since the update, in proportion to the rate of this one.
     *
     * @param update the last update.
     * @param updateAgeMillis how long ago it arrived.
     * @param slots requests that the engine runs at once.
     * @param kvTokens the key-value cache that the request is expected to take, in tokens.
     * @param nowMillis the monotonic time.
     */
    boolean hasRoomFor(EngineNews update, long updateAgeMillis, int slots, long kvTokens, long nowMillis) {
        double sentByOthers = sentByOthersPerRequest(update)
                * recentSends.perSecond(nowMillis)
                * (updateAgeMillis / MILLIS_PER_SECOND);
        double load = Math.max(inFlight, update.getRunning() + update.getWaiting() + sentSinceUpdate + sentByOthers);
        double usedTokens = update.getKvUsedTokens() + tokensSinceUpdate + sentByOthers * kvTokens;
        boolean fits = update.getKvTotalTokens() == 0 || usedTokens + kvTokens <= update.getKvTotalTokens();
        return load < slots && fits;
    }

    /**
     * Returns how many requests the other entries are assumed to send for each one from here: as many as they had at the
     * engine for each one from here, but no more than if all entries sent alike. With equal rates alone, an entry that
     * most callers reach would take nearly idle engines for full.
     */
    private double sentByOthersPerRequest(EngineNews update) {
        int others = Math.max(0, update.getEntries() - 1);
        if (inFlightAtUpdate == 0) {
            return others;
        }
        double load = update.getRunning() + update.getWaiting();
        return Math.min(others, Math.max(0, load - inFlightAtUpdate) / inFlightAtUpdate);
    }
}
