package io.waxwingquay.standin;

/**
 * The simulated cost of a model engine's work, in microseconds. A step of the batch takes
 * {@code stepBaseMicros + stepPerSequenceMicros * batch}, plus the prefill of the sequences that join with it.
 *
 * @param prefillMicrosPerToken cost of a prompt token that is not cached.
 * @param cachedMicrosPerToken cost of a prompt token within a cached prefix.
 * @param stepBaseMicros cost of a step, independent of the batch size.
 * @param stepPerSequenceMicros additional cost of a step for each sequence.
 * @param maxBatch maximum number of sequences in a step.
 * @param prefixCacheTokens capacity of the prefix cache in prompt tokens.
 * @param evictMicros duration of an eviction.
 * @param loadReportLagMicros age of the load that is reported.
 * @param keepAliveMicros interval of the comments that keep an idle stream alive.
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

    /** The costs of a mid-sized model: 20 ms a step plus 0.4 ms for each sequence, of which it runs at most 32. */
    public static final CostModel DEFAULT = new CostModel(200, 20, 20_000, 400, 32, 65_536, 50_000, 500_000, 250_000);

    /**
     * Scales every duration except the keep-alive interval, which depends on the connection and not on the work.
     *
     * @param timeScale the factor; 0.1 runs ten times as fast.
     * @return the scaled cost model.
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
     * Sets the maximum batch size.
     *
     * @param newMaxBatch the maximum number of sequences in a step.
     * @return the new cost model.
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
