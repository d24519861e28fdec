package io.waxwingquay.forward;

import java.util.List;

/**
 * The requests without a final response, as the shutdown of their process sees them. Everything runs on the event loop.
 */
public interface RequestDrain {

    /**
     * Returns the number of requests in progress.
     *
     * @return requests without a final response.
     */
    int activeCount();

    /**
     * Returns the requests in progress.
     *
     * @return their ids.
     */
    List<String> activeIds();

    /**
     * Returns how the requests in progress stand.
     *
     * @return the state of each, in the order of {@link #activeIds}.
     */
    List<String> activeStates();

    /**
     * Rejects, from now on, requests that may not end before the exit: those that wait here, streams, and finally all.
     *
     * @param millis how long until this process exits.
     */
    void drainWithin(long millis);

    /**
     * Ends the requests in progress to whose callers nothing was sent yet, and rejects all further ones. The process
     * exits afterwards.
     */
    void endAdmission();
}
