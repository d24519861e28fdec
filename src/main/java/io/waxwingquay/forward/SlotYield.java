package io.waxwingquay.forward;

import io.waxwingquay.transport.generated.HeldModel;
import java.util.stream.Stream;

/** Decides which engines a request leaves to streams that wait for a slot there and may be resumed at no others. */
interface SlotYield {

    /**
     * Returns whether a request is sent to an engine only if no other one can serve it.
     *
     * @param target the replica.
     * @param nowMillis the monotonic time.
     */
    boolean appliesTo(Target target, long nowMillis);

    /** Returns whether a request that only such engines can serve waits until the streams there have been checked. */
    boolean awaitsTurn();

    /** Leaves no engine to others. */
    final class Disabled implements SlotYield {

        /** {@inheritDoc} */
        @Override
        public boolean appliesTo(Target target, long nowMillis) {
            return false;
        }

        /** {@inheritDoc} */
        @Override
        public boolean awaitsTurn() {
            return false;
        }
    }

    /**
     * Leaves engines to the streams that wait here for one of their models at their software version.
     *
     * <p>Failure: an engine of such a stream has a free slot, and new requests arrive before the stream is checked.
     * Symptom: they take the slot, although other engines have room, and the stream waits until its caller leaves. A
     * queued request is checked after the streams, so that it may take what they leave.
     */
    final class ToResumedStreams implements SlotYield {

        private final WaitQueues queues;
        private final boolean queued;

        private ToResumedStreams(WaitQueues queues, boolean queued) {
            this.queues = queues;
            this.queued = queued;
        }

        /** Yields for a request that is not checked in the order of the queues. */
        static SlotYield forUnqueued(WaitQueues queues) {
            return new ToResumedStreams(queues, false);
        }

        /** Yields for a request that is checked after the streams. */
        static SlotYield forQueued(WaitQueues queues) {
            return new ToResumedStreams(queues, true);
        }

        /** {@inheritDoc} */
        @Override
        public boolean appliesTo(Target target, long nowMillis) {
            return queues.hasResumed() && heldModels(target, nowMillis).anyMatch(model -> isAwaited(target, model));
        }

        private boolean isAwaited(Target target, String model) {
            return queues.hasResumed(new WaitQueues.Name(target.record().service(), model, target.softwareVersion()));
        }

        private static Stream<String> heldModels(Target target, long nowMillis) {
            return target.freshUpdate(nowMillis)
                    .map(update -> update.getModels().stream().map(HeldModel::getName))
                    .orElseGet(() -> target.record().models().stream().map(held -> held.name()));
        }

        /** {@inheritDoc} */
        @Override
        public boolean awaitsTurn() {
            return !queued;
        }
    }
}
