package io.waxwingquay.residency;

import io.waxwingquay.peer.UpdateInterval;
import java.util.Optional;
import java.util.Set;

/**
 * Decides when a side sends a status update about its engine, and to which processes. Changes that affect the placement
 * of copies or replica selection are sent to all processes immediately, resent once soon afterwards, and then
 * periodically. The engine's load changes constantly and is sent to the entries that use the engine.
 */
final class UpdateSchedule {

    /**
     * Delay after which a change is resent. Failure: a datagram is lost. Symptom: a process plans or routes by what an
     * engine held before, until the next periodic update. Two datagrams in a row are rarely lost, and the periodic
     * update still follows.
     */
    static final long RESEND_MILLIS = 200L;

    /** The interval between two load updates, for each entry that receives them. */
    private static final long LOAD_UPDATE_MILLIS_PER_ENTRY = 25L;

    private static final long MIN_LOAD_UPDATE_INTERVAL_MILLIS = 200L;

    private Optional<EngineStatus> sentToAll = Optional.empty();
    private Optional<EngineStatus> sentToActiveEntries = Optional.empty();
    private long sentToAllMillis;
    private long sentToActiveEntriesMillis;
    private boolean resendDue;

    /**
     * Returns the update that is due now, and records it as sent.
     *
     * @param status the current status of the engine.
     * @param receivers number of processes that receive updates to all.
     * @param activeEntries number of entries with requests in the engine.
     * @param nowMillis the current monotonic time.
     */
    Update nextUpdate(EngineStatus status, int receivers, int activeEntries, long nowMillis) {
        long elapsedMillis = nowMillis - sentToAllMillis;
        boolean isChanged =
                sentToAll.map(sent -> sent.isSignificantChange(status)).orElse(true);
        if (isChanged
                || resendDue && elapsedMillis >= RESEND_MILLIS
                || elapsedMillis >= UpdateInterval.periodMillis(receivers)) {
            resendDue = isChanged;
            sentToAll = Optional.of(status);
            sentToAllMillis = nowMillis;
            sentToActiveEntries = sentToAll;
            sentToActiveEntriesMillis = nowMillis;
            return Update.FULL_TO_ALL;
        }
        boolean isTooSoon = nowMillis - sentToActiveEntriesMillis
                < Math.max(MIN_LOAD_UPDATE_INTERVAL_MILLIS, activeEntries * LOAD_UPDATE_MILLIS_PER_ENTRY);
        if (activeEntries == 0 || isTooSoon || sentToActiveEntries.equals(Optional.of(status))) {
            return Update.NONE;
        }
        boolean isLoadOnly = sentToActiveEntries
                .map(sent -> sent.adapters().equals(status.adapters()))
                .orElse(false);
        sentToActiveEntries = Optional.of(status);
        sentToActiveEntriesMillis = nowMillis;
        return isLoadOnly ? Update.LOAD_TO_ACTIVE_ENTRIES : Update.FULL_TO_ACTIVE_ENTRIES;
    }

    /** The content and receivers of an update. */
    enum Update {
        /** No update is due. */
        NONE,
        /** The engine's load, to entries with requests in it. */
        LOAD_TO_ACTIVE_ENTRIES,
        /** A full update, to entries with requests in the engine. */
        FULL_TO_ACTIVE_ENTRIES,
        /** A full update, to all entries and to the sides of the other engines. */
        FULL_TO_ALL
    }

    /**
     * The status of an engine that updates report.
     *
     * @param models models that the engine holds.
     * @param cachedOnHost models whose weights are cached on its host.
     * @param loadingModel the model that is loading.
     * @param recentStoreLoads loads from the weight store that started recently.
     * @param draining whether the engine is about to leave.
     * @param grantsSlots whether its slots are granted to entries.
     * @param configurationVersion the newest configuration version that entries have.
     * @param adapters adapters that the engine holds.
     * @param requests requests that it runs or queues.
     */
    record EngineStatus(
            Set<String> models,
            Set<String> cachedOnHost,
            Optional<String> loadingModel,
            int recentStoreLoads,
            boolean draining,
            boolean grantsSlots,
            long configurationVersion,
            Set<String> adapters,
            int requests) {

        /**
         * Returns whether a change must be sent to all at once. A load that leaves the window can wait for the periodic
         * update: a process that has not learned of it only waits longer than necessary.
         */
        private boolean isSignificantChange(EngineStatus newer) {
            return !models.equals(newer.models)
                    || !cachedOnHost.equals(newer.cachedOnHost)
                    || !loadingModel.equals(newer.loadingModel)
                    || newer.recentStoreLoads > recentStoreLoads
                    || draining != newer.draining
                    || grantsSlots != newer.grantsSlots
                    || configurationVersion != newer.configurationVersion;
        }
    }
}
