package io.waxwingquay.net;

/**
 * Decides which connections a server takes and keeps. On one that it does not take, the first request is rejected once its
 * head is read. Most callers have sent a request before their connection is accepted; if the connection were closed
 * unread, they would get a reset instead of when to come back, and open another one at once.
 */
@FunctionalInterface
public interface ConnectionPolicy {

    /** Takes every connection. */
    ConnectionPolicy ALWAYS = nowMillis -> true;

    /**
     * Returns whether to take the connection that has just been opened.
     *
     * @param nowMillis the monotonic time.
     * @return whether it is taken.
     */
    boolean accepts(long nowMillis);

    /**
     * Returns whether a connection stays open after the response that begins now.
     *
     * @param nowMillis the monotonic time.
     * @return whether it may carry further requests.
     */
    default boolean keeps(long nowMillis) {
        return true;
    }

    /**
     * Returns when a caller whose connection was just refused may open another one.
     *
     * @param nowMillis the monotonic time.
     * @return the delay from now.
     */
    default long retryAfterMillis(long nowMillis) {
        return 0L;
    }

    /**
     * Takes and keeps connections while the loop keeps up with its work. A loop that takes more than it can process reads
     * each request later than the one before, until callers leave before they are read and nobody is served.
     */
    final class WhileResponsive implements ConnectionPolicy {

        /** Share of its time that a loop works when it can take hardly more. */
        private static final double SATURATED_SHARE = 0.85;

        /** Duration of a pass beyond which what waits for its end is read too late. */
        private static final long MAX_PASS_MILLIS = 100L;

        /**
         * The most connections taken in one pass of a saturated loop whose passes are as long as they may be. While they are
         * shorter, more are taken, in proportion.
         */
        private static final int MIN_PER_SATURATED_PASS = 8;

        /** Interval at which a saturated loop takes one connection all the same, by which it is known to serve. */
        private static final long MIN_ACCEPT_INTERVAL_MILLIS = 250L;

        /** The longest delay after which a refused caller may retry, as the load may have fallen by then. */
        private static final long MAX_RETRY_AFTER_MILLIS = 500L;

        private static final long LOG_INTERVAL_MILLIS = 1_000L;
        private static final System.Logger LOG = System.getLogger("waxwingquay.net");

        private final LoopLoad load;
        private long lastAcceptMillis = Long.MIN_VALUE / 2;
        private long lastLogMillis = Long.MIN_VALUE / 2;
        private long currentPass;
        private int acceptedInPass;
        private long refusedCount;
        private double nextPlaceMillis;

        WhileResponsive(LoopLoad load) {
            this.load = load;
        }

        /** {@inheritDoc} */
        @Override
        public boolean accepts(long nowMillis) {
            if (load.passCount() != currentPass) {
                currentPass = load.passCount();
                acceptedInPass = 0;
            }
            if (isSaturated(nowMillis) && nowMillis - lastAcceptMillis < MIN_ACCEPT_INTERVAL_MILLIS) {
                refused(nowMillis);
                return false;
            }
            acceptedInPass++;
            lastAcceptMillis = nowMillis;
            return true;
        }

        /** {@inheritDoc} */
        @Override
        public boolean keeps(long nowMillis) {
            return !isBusy(nowMillis) || load.lastPassMillis() < MAX_PASS_MILLIS;
        }

        /**
         * {@inheritDoc}
         *
         * <p>Each refused caller gets a time of its own, at the rate at which a saturated loop takes connections. If all
         * were told the same time, they would return together and be refused again.
         */
        @Override
        public long retryAfterMillis(long nowMillis) {
            nextPlaceMillis =
                    Math.max(nextPlaceMillis, nowMillis + load.lastPassMillis()) + (double) passMillis() / maxPerPass();
            return Math.min(MAX_RETRY_AFTER_MILLIS, Math.round(nextPlaceMillis - nowMillis));
        }

        private boolean isSaturated(long nowMillis) {
            return isBusy(nowMillis) && (load.lastPassMillis() >= MAX_PASS_MILLIS || acceptedInPass >= maxPerPass());
        }

        private long maxPerPass() {
            return MIN_PER_SATURATED_PASS * MAX_PASS_MILLIS / passMillis();
        }

        private long passMillis() {
            return Math.max(1, Math.min(MAX_PASS_MILLIS, load.lastPassMillis()));
        }

        private boolean isBusy(long nowMillis) {
            return load.busyShare(nowMillis) >= SATURATED_SHARE;
        }

        private void refused(long nowMillis) {
            refusedCount++;
            if (nowMillis - lastLogMillis >= LOG_INTERVAL_MILLIS) {
                lastLogMillis = nowMillis;
                LOG.log(
                        System.Logger.Level.INFO,
                        "net: connections refused count={0} busy_share={1} pass_ms={2}",
                        refusedCount,
                        load.busyShare(nowMillis),
                        load.lastPassMillis());
            }
        }
    }
}
