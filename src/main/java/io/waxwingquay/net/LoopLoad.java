package io.waxwingquay.net;

/**
 * The load of an event loop. A pass is the work between two waits for events; what becomes ready during a pass waits for
 * its end.
 */
final class LoopLoad {

    private static final double BUSY_HALF_LIFE_MILLIS = 250.0;

    private double busyShare;
    private long changedAtMillis;
    private long passStartMillis;
    private long lastPassMillis;
    private long passCount;

    void passStarted(long nowMillis) {
        busyShare = busyShareAt(nowMillis, 0);
        changedAtMillis = nowMillis;
        passStartMillis = nowMillis;
        passCount++;
    }

    void passEnded(long nowMillis) {
        if (passCount > 0) {
            busyShare = busyShareAt(nowMillis, 1);
            lastPassMillis = nowMillis - passStartMillis;
        }
        changedAtMillis = nowMillis;
    }

    /** Returns how long the last complete pass took. */
    long lastPassMillis() {
        return lastPassMillis;
    }

    /** Returns the number of passes begun so far, which identifies the current one. */
    long passCount() {
        return passCount;
    }

    /** Returns, within a pass, the share of the last half second or so that the loop has worked. */
    double busyShare(long nowMillis) {
        return busyShareAt(nowMillis, 1);
    }

    /** Averages the share so far with that of the time since the last change, older time counting less. */
    private double busyShareAt(long nowMillis, double shareSinceChange) {
        double weight = Math.pow(0.5, (nowMillis - changedAtMillis) / BUSY_HALF_LIFE_MILLIS);
        return busyShare * weight + shareSinceChange * (1 - weight);
    }
}
