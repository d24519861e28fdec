package io.waxwingquay.forward;

import java.util.List;

/**
 * The requests without a final answer, as the departure of their process sees them. All of it runs on the loop.
 */
public interface RequestDrain {

    /**
     * How many there are.
     *
     * @return requests without a final answer.
     */
    int activeCount();

    /**
     * Which they are.
     *
     * @return their ids.
     */
    List<String> activeIds();

    /**
     * From now on refuses what may not end in time: what waits here, streams, and near the end everything.
     *
     * @param millis how long until this process exits.
     */
    void drainWithin(long millis);

    /**
     * Gives what is still under way its final answer, as far as none has begun, and refuses all that comes from now on.
     * The process exits after it.
     */
    void endAdmission();
}
