package io.waxwingquay.account;

/**
 * The limit of an account over all entries together: a rate, and a burst that may accumulate.
 *
 * @param perSecond units per second.
 * @param burst units that may be spent at once after a pause.
 * @param unit what is counted.
 * @param plainTokens tokens that a request without token counts weighs.
 */
public record Quota(double perSecond, double burst, Unit unit, long plainTokens) {

    /** Validates the figures. */
    public Quota {
        if (!(perSecond > 0) || !Double.isFinite(perSecond)) {
            throw new IllegalArgumentException("the rate " + perSecond + " is not above 0");
        }
        if (!(burst >= 0) || !Double.isFinite(burst) || plainTokens < 0) {
            throw new IllegalArgumentException("the burst or the tokens of a plain request are below 0");
        }
    }

    /** What a quota counts. */
    public enum Unit {
        /** Each request is one unit. */
        REQUESTS,
        /** Each token of a prompt and each token that may be generated is one unit. */
        TOKENS
    }

    /**
     * Returns what a request spends.
     *
     * @param inputTokens tokens of its prompt; 0 if it states none.
     * @param outputTokens the most tokens that it generates; 0 if it states none.
     * @return the units, at least 0.
     */
    public long units(long inputTokens, long outputTokens) {
        if (unit == Unit.REQUESTS) {
            return 1;
        }
        long tokens = Math.max(0, inputTokens) + Math.max(0, outputTokens);
        return tokens > 0 ? tokens : plainTokens;
    }
}
