package io.waxwingquay.forward;

/**
 * Tells whether a replica whose row is missing from the platform's list may have departed.
 *
 * <p>When this entry regains the store after an outage, a missing row may have expired during the outage and be
 * about to come back, or its replica may have left without notice. Assuming the former would send requests to a replica
 * that is about to exit. Messages of the replica itself or of its side process that arrive after the row was found
 * missing decide it; until then the replica counts as one that may have departed.
 */
final class ListingStatus {

    private boolean unlisted;
    private boolean staying;

    /** Notes that the row is listed. */
    void listed() {
        unlisted = false;
    }

    /** Notes that the row is missing. */
    void unlisted() {
        unlisted = true;
        staying = false;
    }

    /** Notes a message of the replica that tells whether it is draining. */
    void heard(boolean draining) {
        staying = !draining;
    }

    boolean mayHaveDeparted() {
        return unlisted && !staying;
    }
}
