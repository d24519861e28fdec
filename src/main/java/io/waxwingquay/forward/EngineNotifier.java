package io.waxwingquay.forward;

import io.waxwingquay.common.HostPort;

/** Tells the processes beside engines what this entry needs of them. */
public interface EngineNotifier {

    /**
     * Asks for an adapter.
     *
     * @param engine the engine that is to hold it.
     * @param id the call's id.
     * @param model the model.
     * @param adapter the adapter.
     */
    void requestAdapter(HostPort engine, long id, String model, String adapter);

    /** The demand has changed so that the processes beside engines should know at once. */
    void demandChanged();
}
