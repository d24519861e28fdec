package io.waxwingquay.forward;

import java.util.OptionalLong;

/** The next step of a request. */
interface Choice {

    /**
     * Sends the request.
     *
     * @param target the replica to send it to.
     */
    record Send(Target target) implements Choice {}

    /**
     * Loads the adapter of the request first.
     *
     * @param target the replica whose engine is to load it.
     */
    record LoadAdapter(Target target) implements Choice {}

    /**
     * Asks for a slot first, which the side process of the engine grants once the adapter of the request is loaded.
     *
     * @param target the replica whose engine is asked.
     */
    record Reserve(Target target) implements Choice {}

    /**
     * States that the engines that could run the request have denied it a slot.
     *
     * @param denial the denial with the shortest time until a slot is expected.
     * @param engines how many engines have denied a slot.
     */
    record Denied(SlotDenial denial, int engines) implements Choice {}

    /**
     * States that no replica holds the model.
     *
     * @param readyMillis how long until one is expected to.
     */
    record ModelAbsent(long readyMillis) implements Choice {}

    /**
     * States that the replicas that could run the request have no free slot, or none that it may take at once.
     *
     * @param firstSlotMillis how long until a slot is expected to be free for one more request.
     * @param slotIntervalMillis the expected time between two slots becoming free; 0 if it is unknown.
     * @param copyReadyMillis how long until another replica is expected to hold the model.
     * @param isLeftToOthers whether slots are free, which requests that precede this one may take first.
     */
    record Full(long firstSlotMillis, double slotIntervalMillis, OptionalLong copyReadyMillis, boolean isLeftToOthers)
            implements Choice {

        /** Creates the choice where no slot is free. */
        Full(long firstSlotMillis, double slotIntervalMillis, OptionalLong copyReadyMillis) {
            this(firstSlotMillis, slotIntervalMillis, copyReadyMillis, false);
        }

        /**
         * Returns the same where slots are free, and those that precede the request are checked within this time. Slots become
         * free at the same interval as before.
         */
        Full leftToOthersFor(long millis) {
            return new Full(millis, slotIntervalMillis, copyReadyMillis, true);
        }

        /** Returns how long until a slot is expected for a request that this many others precede. */
        long expectedWaitMillis(int requestsAhead) {
            long slotMillis = firstSlotMillis + Math.round(requestsAhead * slotIntervalMillis);
            return Math.min(slotMillis, copyReadyMillis.orElse(Long.MAX_VALUE));
        }
    }

    /**
     * Waits for a replica on which the request, a suspect, would be isolated: those that could run it run another
     * suspect.
     */
    record AwaitIsolation() implements Choice {}

    /** States that no replica that could run the request can be reached. */
    record NoReplica() implements Choice {}

    /** Waits for the replicas that may have the software version of the stream to state which incarnation they are. */
    record AwaitConfirmation() implements Choice {}

    /** States that no other replica has the software version that started the stream, at which alone it may be resumed. */
    record NoReplicaOfVersion() implements Choice {}
}
