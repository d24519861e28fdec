package io.waxwingquay.forward;

import io.waxwingquay.transport.generated.SlotRequest;

/** Sends requests for slots to the side processes of the engines of replicas. */
record SlotMessages(EngineNotifier notifier) implements SlotRequester.Channel {

    /** {@inheritDoc} */
    @Override
    public void request(Target target, SlotRequest request) {
        notifier.requestSlot(target.address(), request);
    }

    /** {@inheritDoc} */
    @Override
    public void cancel(Target target, long id) {
        notifier.cancelSlot(target.address(), id);
    }
}
