package io.waxwingquay.forward;

import java.util.Locale;

/**
 * The end of an attempt that may mean that its replica crashed.
 *
 * @param phase how far the answer had come.
 * @param runMillis how long the replica ran the request, as far as this entry knows.
 */
record SuspectedCrash(Phase phase, long runMillis) {

    /** A request that crashes replicas does so as it begins to run; a sound one that is cut has mostly run for longer. */
    private static final long LONG_RUN_MILLIS = 1_000L;

    /** Returns whether little speaks for the request as the cause: it had run for long, or its replica may go on yet. */
    boolean isWeakEvidence() {
        return phase == Phase.SILENT || runMillis >= LONG_RUN_MILLIS;
    }

    /** How far the answer had come. */
    enum Phase {
        /** The connection broke before the answer. */
        BEFORE_ANSWER("broke before an answer"),
        /** The connection broke after the first event, or within the body. */
        WITHIN_ANSWER("broke within an answer"),
        /** The connection stays open, but nothing comes from the replica on any connection. */
        SILENT("replica went silent");

        private final String description;

        Phase(String description) {
            this.description = description;
        }

        String description() {
            return description;
        }

        /** Returns the value of the metric's label. */
        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
