package io.waxwingquay.forward;

/**
 * The bytes of request bodies that this entry has at one engine, sent and not answered completely or queued for a
 * connection, and how many it may have there: an engine ends if the requests that it holds exceed its memory.
 */
final class BodyShare {

    /** Bytes of bodies that all entries together may have at one engine. */
    private static final long TOTAL_BYTES = 1_048_576L;

    private long heldBytes;

    /**
     * Returns whether a further body may be sent there. The first one always may, so that no body is too long for the
     * share of an entry among many.
     *
     * @param bytes the length of the body.
     * @param entryCount the number of entries that share the total.
     */
    boolean hasRoomFor(long bytes, int entryCount) {
        return bytes == 0 || heldBytes == 0 || heldBytes + bytes <= TOTAL_BYTES / entryCount;
    }

    void sent(long bytes) {
        heldBytes += bytes;
    }

    void ended(long bytes) {
        heldBytes -= bytes;
    }

    long heldBytes() {
        return heldBytes;
    }
}
