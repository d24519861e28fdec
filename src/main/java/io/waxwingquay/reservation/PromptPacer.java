package io.waxwingquay.reservation;

import io.waxwingquay.fleet.RunningRequest;
import java.util.List;

/** Spaces the prompts that are sent to an engine, so that its running streams keep their longest pause. */
public interface PromptPacer {

    /**
     * Returns how long a prompt has to wait.
     *
     * @param promptTokens tokens of the prompt.
     * @param pauseObjectiveMillis the longest intended pause of its own stream; 0 if there is none.
     * @param nowMillis the monotonic time.
     * @return the time in milliseconds; 0 if it may be sent now.
     */
    long delayMillis(long promptTokens, long pauseObjectiveMillis, long nowMillis);

    /**
     * Notes a prompt that is sent now.
     *
     * @param promptTokens tokens of the prompt.
     * @param pauseObjectiveMillis the longest intended pause of its stream; 0 if there is none.
     * @param nowMillis the monotonic time.
     */
    void admitted(long promptTokens, long pauseObjectiveMillis, long nowMillis);

    /**
     * Takes a fresh report of the engine.
     *
     * @param bornMillis start time of this incarnation; 0 if unknown.
     * @param runs the requests that it runs.
     * @param nowMillis the monotonic time.
     */
    void observed(long bornMillis, List<RunningRequest> runs, long nowMillis);

    /**
     * Returns how many requests the engine can run at once at its present speed.
     *
     * @param slots requests that it runs at once by its configuration.
     * @return at most that number, at least 1.
     */
    int effectiveSlots(int slots);

    /**
     * Returns a pacer that delays nothing.
     *
     * @return the pacer.
     */
    static PromptPacer disabled() {
        return new Disabled();
    }

    /** Delays nothing. */
    final class Disabled implements PromptPacer {

        /** {@inheritDoc} */
        @Override
        public long delayMillis(long promptTokens, long pauseObjectiveMillis, long nowMillis) {
            return 0;
        }

        /** {@inheritDoc} */
        @Override
        public void admitted(long promptTokens, long pauseObjectiveMillis, long nowMillis) {}

        /** {@inheritDoc} */
        @Override
        public void observed(long bornMillis, List<RunningRequest> runs, long nowMillis) {}

        /** {@inheritDoc} */
        @Override
        public int effectiveSlots(int slots) {
            return slots;
        }
    }
}
