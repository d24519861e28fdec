package io.waxwingquay.forward;

import java.util.OptionalLong;

/**
 * What is known of whether a replica still is the incarnation that its row states.
 *
 * <p>Failure: a replica restarts under its id and address, and its row is read later. Symptom: streams are begun and resumed
 * there by the software version of its former incarnation. A restart breaks every connection, so that one which is open now
 * and was open when the replica stated its start time belongs to that incarnation, and the replica has not restarted since.
 */
final class IncarnationEvidence {

    private final long bornMillis;
    private OptionalLong confirmedAtMillis = OptionalLong.empty();
    private boolean succeeded;

    /**
     * Creates the evidence of a replica that was not heard since its row was read.
     *
     * @param bornMillis the start time that its row states.
     */
    IncarnationEvidence(long bornMillis) {
        this.bornMillis = bornMillis;
    }

    /**
     * Notes the start time that the replica at this address states; 0 if it states none.
     *
     * @param statedBornMillis the start time.
     * @param atMillis a monotonic time at which the replica that states it certainly ran.
     */
    void stated(long statedBornMillis, long atMillis) {
        succeeded |= statedBornMillis > bornMillis && bornMillis != 0;
        if (statedBornMillis == bornMillis) {
            confirmedAtMillis = OptionalLong.of(Math.max(atMillis, confirmedAtMillis.orElse(atMillis)));
        }
    }

    /** Returns whether a later incarnation answers at this address. */
    boolean isSucceeded() {
        return succeeded;
    }

    /**
     * Returns whether the incarnation of the row answers.
     *
     * @param oldestConnectionMillis when the oldest connection was opened of those whose end would be noticed.
     */
    boolean isCurrent(OptionalLong oldestConnectionMillis) {
        return !succeeded
                && confirmedAtMillis.isPresent()
                && oldestConnectionMillis.isPresent()
                && oldestConnectionMillis.getAsLong() <= confirmedAtMillis.getAsLong();
    }
}
