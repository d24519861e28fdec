package io.waxwingquay.forward;

import java.util.OptionalLong;

/** What is to be done next with a request. */
interface Choice {

    /**
     * Send it.
     *
     * @param target where to.
     */
    record Send(Target target) implements Choice {}

    /**
     * Have its adapter loaded first.
     *
     * @param target where.
     */
    record LoadAdapter(Target target) implements Choice {}

    /**
     * No replica holds its model.
     *
     * @param readyMillis how long until one is expected to.
     */
    record ModelAbsent(long readyMillis) implements Choice {}

    /**
     * Replicas that could run it have no room.
     *
     * @param firstSlotMillis how long until there is expected to be room for one more.
     * @param slotIntervalMillis how long from one place that comes free to the next; 0 if nothing is known of that.
     * @param copyReadyMillis how long until another replica is expected to hold its model.
     */
    record Full(long firstSlotMillis, double slotIntervalMillis, OptionalLong copyReadyMillis) implements Choice {

        /** How long until there is room for a request that so many others are served before. */
        long expectedWaitMillis(int requestsAhead) {
            long slotMillis = firstSlotMillis + Math.round(requestsAhead * slotIntervalMillis);
            return Math.min(slotMillis, copyReadyMillis.orElse(Long.MAX_VALUE));
        }
    }

    /** It may be what ends replicas, and those that could run it run another such one. */
    record AwaitIsolation() implements Choice {}

    /** No replica can be reached that could run it. */
    record NoReplica() implements Choice {}
}
