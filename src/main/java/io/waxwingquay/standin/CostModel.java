package io.waxwingquay.standin;

/**
 * What work costs a model engine, in microseconds. A step of the batch takes
 * {@code stepBaseMicros + stepPerSequenceMicros * batch}, plus the prefill of the prompts that join in it.
 *
 * @param prefillMicrosPerToken a prompt token that is not cached.
 * @param cachedMicrosPerToken a prompt token in a cached prefix.
 * @param stepBaseMicros a step whatever the batch.
 * @param stepPerSequenceMicros each sequence in a step.
 * @param maxBatch the most sequences in a step.
 * @param prefixCacheTokens how many prompt tokens the prefix cache holds.
 * @param evictMicros how long an eviction takes.
 * @param loadReportLagMicros how old the load report is.
 * @param keepAliveMicros how often a waiting stream sends a comment.
 */
public record CostModel(
        double prefillMicrosPerToken,
        double cachedMicrosPerToken,
        double stepBaseMicros,
        double stepPerSequenceMicros,
        int maxBatch,
        int prefixCacheTokens,
        long evictMicros,
        long loadReportLagMicros,
        long keepAliveMicros) {

    /** A mid-sized model: 20 ms a step, 0.4 ms more for each sequence, at most 32. */
    public static final CostModel DEFAULT = new CostModel(200, 20, 20_000, 400, 32, 65_536, 50_000, 500_000, 250_000);

    /**
     * Scales every time but the keep-alive, which belongs to the connection and not to the work.
     *
     * @param timeScale the factor; 0.1 is ten times as fast.
     * @return the scaled costs.
     */
    public CostModel scaled(double timeScale) {
        return new CostModel(
                prefillMicrosPerToken * timeScale,
                cachedMicrosPerToken * timeScale,
                stepBaseMicros * timeScale,
                stepPerSequenceMicros * timeScale,
                maxBatch,
                prefixCacheTokens,
                Math.round(evictMicros * timeScale),
                Math.round(loadReportLagMicros * timeScale),
                keepAliveMicros);
    }

    /**
     * Sets the largest batch.
     *
     * @param newMaxBatch the most sequences in a step.
     * @return the new costs.
     */
    public CostModel withMaxBatch(int newMaxBatch) {
        return new CostModel(
                prefillMicrosPerToken,
                cachedMicrosPerToken,
                stepBaseMicros,
                stepPerSequenceMicros,
                newMaxBatch,
                prefixCacheTokens,
                evictMicros,
                loadReportLagMicros,
                keepAliveMicros);
    }

    double stepMicros(int batch) {
        return stepBaseMicros + stepPerSequenceMicros * batch;
    }

    double prefillMicros(int promptTokens, int cachedTokens) {
        return prefillMicrosPerToken * (promptTokens - cachedTokens) + cachedMicrosPerToken * cachedTokens;
    }
}
