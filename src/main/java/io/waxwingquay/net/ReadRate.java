package io.waxwingquay.net;

/** How fast a peer has read lately while output waited for it. */
final class ReadRate {

    /** A rate counts this period and the one before it, so that a peer that has stopped is noticed soon. */
    private static final long PERIOD_MILLIS = 1_000L;

    /**
     * Bytes that a peer is assumed to have read beside those that it did read. Without it a peer whose output has only
     * just begun to wait would count as one that reads nothing.
     */
    private static final double ASSUMED_BYTES = 65_536;

    private long previousStartMillis;
    private long previousStartBytes;
    private long currentStartMillis;
    private long currentStartBytes;

    /**
     * Begins to measure, as output begins to wait.
     *
     * @param acceptedBytes the bytes that the peer has accepted in all.
     * @param nowMillis the monotonic time.
     */
    void start(long acceptedBytes, long nowMillis) {
        previousStartMillis = nowMillis;
        previousStartBytes = acceptedBytes;
        currentStartMillis = nowMillis;
        currentStartBytes = acceptedBytes;
    }

    /** Returns the rate in bytes per millisecond. */
    double bytesPerMilli(long acceptedBytes, long nowMillis) {
        observe(acceptedBytes, nowMillis);
        return (ASSUMED_BYTES + acceptedBytes - previousStartBytes) / Math.max(1, nowMillis - previousStartMillis);
    }

    /** Notes how much the peer has accepted so far. */
    void observe(long acceptedBytes, long nowMillis) {
        if (nowMillis - currentStartMillis >= PERIOD_MILLIS) {
            previousStartMillis = currentStartMillis;
            previousStartBytes = currentStartBytes;
            currentStartMillis = nowMillis;
            currentStartBytes = acceptedBytes;
        }
    }
}
