package io.waxwingquay.reservation;

import java.util.List;

/** Decides which requests get the slots of one engine. Not thread-safe: everything runs on the event loop. */
public interface SlotBook {

    /**
     * Sets the number of requests that the engine runs at once.
     *
     * @param slots the number of slots.
     */
    void configure(int slots);

    /**
     * Requests a slot, or repeats the request with the times brought up to date.
     *
     * @param request the request.
     * @return the answers that are due now, to this request and others.
     */
    List<SlotAnswer> submit(SlotRequest request);

    /**
     * Cancels a request for a slot, or returns the slot. Ignored if it is not known.
     *
     * @param key the request.
     */
    void cancel(SlotRequest.Key key);

    /**
     * Takes a fresh report of the engine.
     *
     * @param occupancy what the report tells.
     * @return the answers that are due now.
     */
    List<SlotAnswer> observe(EngineOccupancy occupancy);

    /**
     * Denies all waiting requests, as the engine was lost.
     *
     * @return the denials.
     */
    List<SlotAnswer> engineLost();

    /**
     * Returns the answers that are due by time alone.
     *
     * @return the answers.
     */
    List<SlotAnswer> advance();

    /**
     * Returns the requests in the engine and the granted slots that its report does not show yet.
     *
     * @return the load.
     */
    int load();

    /**
     * Returns whether any request waits for a slot.
     *
     * @return whether the engine should be polled often.
     */
    boolean hasWaiting();
}
