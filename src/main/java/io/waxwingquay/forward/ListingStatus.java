package io.waxwingquay.forward;

/**
 * Whether a replica whose row is missing from the platform's list may have left.
 *
 * <p>Failure: this entry loses the store and regains it, and a row is missing. Either the row lapsed in an outage and comes
 * back, or the replica has left without notice. Symptom if it were taken for the first: requests reach a replica that is
 * about to exit. What comes from the replica itself, or from the process beside it, after its row was found missing tells
 * which; until then it counts as one that may have left.
 */
final class ListingStatus {

    private boolean unlisted;
    private boolean staying;

    /** Its row is there. */
    void listed() {
        unlisted = false;
    }

    /** Its row was found missing. */
    void unlisted() {
        unlisted = true;
        staying = false;
    }

    /** It was heard, and told whether it is about to leave. */
    void heard(boolean draining) {
        staying = !draining;
    }

    boolean mayHaveDeparted() {
        return unlisted && !staying;
    }
}
