package io.waxwingquay.account;

import java.util.OptionalLong;
import java.util.function.IntSupplier;

/** What one entry may spend of the quota of one account, so that all entries together keep to it. */
public interface Allowance {

    /**
     * Spends units if the allowance permits it. More than are left may be spent as long as anything is left; they are
     * earned again before the next.
     *
     * @param units the units.
     * @param nowMillis the monotonic time.
     * @param decision told of the decision, before this method returns or soon after.
     */
    void spend(long units, long nowMillis, Decision decision);

    /**
     * Gives units back whose request did not run.
     *
     * @param units the units.
     */
    void giveBack(long units);

    /** Told whether units are spent. */
    @FunctionalInterface
    interface Decision {

        /**
         * Handles the decision.
         *
         * @param retryAfterMillis empty if the units are spent, else the milliseconds after which to ask again.
         */
        void decided(OptionalLong retryAfterMillis);
    }

    /** The allowance of an account without a quota. */
    enum Disabled implements Allowance {
        /** The only instance. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public void spend(long units, long nowMillis, Decision decision) {
            decision.decided(OptionalLong.empty());
        }

        /** {@inheritDoc} */
        @Override
        public void giveBack(long units) {
            // nothing is counted
        }
    }

    /**
     * An equal part of the quota for each entry, which needs no word from the others.
     *
     * <p>Load pattern: an entry that is cut off from the processes which add up the spending. It refuses what the quota
     * permits wherever requests of an account come through few entries.
     */
    final class WithEqualPart implements Allowance {

        private static final double MILLIS_PER_SECOND = 1_000.0;

        private final IntSupplier entries;
        private final TokenBucket bucket;
        private Quota quota;
        private double startingDebtShare;

        /**
         * Creates a part.
         *
         * @param quota the quota.
         * @param initialUnits what all entries together may spend at once after their start.
         * @param entries the number of entries.
         * @param phase a number from 0 up to 1, drawn separately by each entry: a part that is worth less than one
         *     request is rounded by it, so that the parts add up.
         * @param nowMillis the monotonic time.
         */
        public WithEqualPart(Quota quota, double initialUnits, IntSupplier entries, double phase, long nowMillis) {
            this.quota = quota;
            this.entries = entries;
            this.startingDebtShare = phase;
            this.bucket = new TokenBucket(initialUnits / Math.max(1, entries.getAsInt()), nowMillis);
        }

        /**
         * Sets the quota of a newer configuration; what has been spent stays.
         *
         * @param newer the quota.
         */
        public void quota(Quota newer) {
            quota = newer;
        }

        /** {@inheritDoc} */
        @Override
        public void spend(long units, long nowMillis, Decision decision) {
            decision.decided(trySpend(units, nowMillis));
        }

        private OptionalLong trySpend(long units, long nowMillis) {
            int parts = Math.max(1, entries.getAsInt());
            bucket.refill(quota.perSecond() / parts, quota.burst() / parts, nowMillis);
            bucket.spend(startingDebtShare * units);
            startingDebtShare = 0;
            if (bucket.units() > 0) {
                bucket.spend(units);
                return OptionalLong.empty();
            }
            return OptionalLong.of(1 + Math.round(-bucket.units() * parts / quota.perSecond() * MILLIS_PER_SECOND));
        }

        /** {@inheritDoc} */
        @Override
        public void giveBack(long units) {
            bucket.spend(-units);
        }
    }
}
