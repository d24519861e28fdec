package io.waxwingquay.residency;

import io.waxwingquay.peer.NewsPace;
import java.util.Optional;
import java.util.Set;

/**
 * Decides when the process beside an engine tells whom. What the plan of copies and the choice of an engine turn on is
 * told to all at once when it changes, said once more soon, and then now and then. How busy the engine is changes all
 * the time and is told to the entries that use it.
 */
final class UpdateSchedule {

    /**
     * A change is said once more after this. Failure: a datagram is lost. Symptom: a process plans, or sends requests,
     * by what an engine held before, until the next telling. Two in a row are rarely lost, and that one still comes.
     */
    static final long RESEND_MILLIS = 200L;

    /** The pause between two tellings of the load, for each entry that is told. */
    private static final long MILLIS_PER_ACTIVE_ENTRY = 25L;

    private static final long MIN_ACTIVE_ENTRIES_MILLIS = 200L;

    private Optional<EngineStatus> sentToAll = Optional.empty();
    private Optional<EngineStatus> sentToActiveEntries = Optional.empty();
    private long sentToAllMillis;
    private long sentToActiveEntriesMillis;
    private boolean resendDue;

    /**
     * What to send now; taken to be sent.
     *
     * @param status what there is to tell.
     * @param receivers how many processes there are to tell.
     * @param activeEntries how many entries have requests in the engine.
     * @param nowMillis the steady time.
     */
    Update nextUpdate(EngineStatus status, int receivers, int activeEntries, long nowMillis) {
        long elapsedMillis = nowMillis - sentToAllMillis;
        boolean isChanged =
                sentToAll.map(sent -> sent.isSignificantChange(status)).orElse(true);
        if (isChanged
                || resendDue && elapsedMillis >= RESEND_MILLIS
                || elapsedMillis >= NewsPace.periodMillis(receivers)) {
            resendDue = isChanged;
            sentToAll = Optional.of(status);
            sentToAllMillis = nowMillis;
            sentToActiveEntries = sentToAll;
            sentToActiveEntriesMillis = nowMillis;
            return Update.FULL_TO_ALL;
        }
        boolean isSoon = nowMillis - sentToActiveEntriesMillis
                < Math.max(MIN_ACTIVE_ENTRIES_MILLIS, activeEntries * MILLIS_PER_ACTIVE_ENTRY);
        if (activeEntries == 0 || isSoon || sentToActiveEntries.equals(Optional.of(status))) {
            return Update.NONE;
        }
        boolean isLoadOnly = sentToActiveEntries
                .map(sent -> sent.adapters().equals(status.adapters()))
                .orElse(false);
        sentToActiveEntries = Optional.of(status);
        sentToActiveEntriesMillis = nowMillis;
        return isLoadOnly ? Update.LOAD_TO_ACTIVE_ENTRIES : Update.FULL_TO_ACTIVE_ENTRIES;
    }

    /** What is sent to whom. */
    enum Update {
        /** Nothing is due. */
        NONE,
        /** How busy the engine is, to entries with requests in it. */
        LOAD_TO_ACTIVE_ENTRIES,
        /** All, to entries with requests in it. */
        FULL_TO_ACTIVE_ENTRIES,
        /** All, to all entries and to the processes beside the other engines. */
        FULL_TO_ALL
    }

    /**
     * What there is to tell of an engine.
     *
     * @param models what it holds.
     * @param cachedOnHost what lies at hand.
     * @param loadingModel what is brought in.
     * @param recentStoreLoads loads from the weight store that began lately.
     * @param draining whether it leaves.
     * @param configurationVersion the newest version that entries have.
     * @param adapters what it holds of adapters.
     * @param requests requests in it.
     */
    record EngineStatus(
            Set<String> models,
            Set<String> cachedOnHost,
            Optional<String> loadingModel,
            int recentStoreLoads,
            boolean draining,
            long configurationVersion,
            Set<String> adapters,
            int requests) {

        /** Loads that lapse from their window can be told with the next telling: who has not heard waits too long. */
        private boolean isSignificantChange(EngineStatus newer) {
            return !models.equals(newer.models)
                    || !cachedOnHost.equals(newer.cachedOnHost)
                    || !loadingModel.equals(newer.loadingModel)
                    || newer.recentStoreLoads > recentStoreLoads
                    || draining != newer.draining
                    || configurationVersion != newer.configurationVersion;
        }
    }
}
