package io.waxwingquay.forward;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.origin.StreamOrigins;
import io.waxwingquay.transport.generated.SlotRequest;

/** Notifies the side processes of engines of what this entry needs. */
public interface EngineNotifier extends StreamOrigins.Channel {

    /**
     * Requests an adapter.
     *
     * @param engine the engine that is to load it.
     * @param id the id of the call.
     * @param model the model.
     * @param adapter the adapter.
     */
    void requestAdapter(HostPort engine, long id, String model, String adapter);

    /**
     * Requests a slot of an engine, or repeats the request.
     *
     * @param engine the engine.
     * @param request the request.
     */
    void requestSlot(HostPort engine, SlotRequest request);

    /**
     * Cancels a request for a slot, or returns the slot.
     *
     * @param engine the engine.
     * @param id the id of the request.
     */
    void cancelSlot(HostPort engine, long id);

    /** Announces that the processes which add up the spending of client accounts should be told of it soon. */
    void spendingReportDue();

    /** Announces a change of demand of which the side processes of engines should learn at once. */
    void demandChanged();
}
