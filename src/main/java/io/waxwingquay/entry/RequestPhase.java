package io.waxwingquay.entry;

/**
 * Where an attempt stands, as the entry process sees it.
 */
public enum RequestPhase {
    /** It is being handed to a side process. */
    SUBMITTING,
    /** A side process has it, and the entry waits for its answer. */
    POLLING,
    /** The connection was lost, and the entry asks the same side process for the same attempt again. */
    RESUMING,
    /** The answer is whole. */
    DONE,
    /** It has failed for good. */
    FAILED;

    /** What happens to an attempt. */
    public enum Event {
        /** The side process took it. */
        ACCEPTED,
        /** The side process answered a poll. */
        PROGRESS,
        /** A call failed or stayed silent. */
        CONNECTION_LOST,
        /** The last piece of the answer came. */
        COMPLETED,
        /** It was refused, it failed, its time is over or its caller has gone. */
        ENDED
    }

    /** Which phase follows; the rules may come from elsewhere, such as a state chart in a file. */
    @FunctionalInterface
    public interface Chart {

        /** The rules of this enumeration. */
        Chart BUILT_IN = RequestPhase::on;

        /**
         * The next phase.
         *
         * @param phase the phase now.
         * @param event what happened.
         * @return the phase that follows.
         * @throws IllegalStateException if the event cannot happen in the phase.
         */
        RequestPhase next(RequestPhase phase, Event event);
    }

    /**
     * The next phase.
     *
     * @param event what happened.
     * @return the phase that follows.
     * @throws IllegalStateException if the event cannot happen in this phase.
     */
    public RequestPhase on(Event event) {
        if (this == DONE || this == FAILED) {
            throw new IllegalStateException("attempt is over in phase " + this + ", yet got " + event);
        }
        return switch (event) {
            case ACCEPTED -> require(this != POLLING, event, POLLING);
            case PROGRESS -> require(this == POLLING, event, POLLING);
            case CONNECTION_LOST -> RESUMING;
            case COMPLETED -> require(this == POLLING, event, DONE);
            case ENDED -> FAILED;
        };
    }

    private RequestPhase require(boolean allowed, Event event, RequestPhase next) {
        if (!allowed) {
            throw new IllegalStateException("event " + event + " cannot happen in phase " + this);
        }
        return next;
    }
}
