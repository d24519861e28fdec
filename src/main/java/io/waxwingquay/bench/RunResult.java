package io.waxwingquay.bench;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import java.util.List;

/**
 * The results of one run. Moves, which are loads and evictions, count from the start of the load, when every model is
 * served and no item is loading.
 *
 * @param workload name of the workload.
 * @param policy name of the policy.
 * @param fault name of the fault.
 * @param seed seed of the random generators.
 * @param sent number of completions sent.
 * @param attained number of completions answered in full within their deadline.
 * @param attainedPerAcceleratorSecond attained completions per accelerator and second.
 * @param modelMoves loads and evictions of models.
 * @param adapterMoves loads and evictions of adapters.
 * @param refusedDidNotRun number of error answers that say that the request did not run.
 * @param refusedUnknown number of error answers that say that the request ran or may have run, and of broken
 *     connections.
 * @param late number of complete answers after the deadline.
 * @param firstTokenP50Millis median of the time to the first token.
 * @param firstTokenP99Millis 99th percentile of the time to the first token.
 * @param plainSent number of calls to plain services.
 * @param plainAttained number of these calls that were answered within their deadline.
 * @param mostRunsOfOneKey the largest number of runs of any idempotency key.
 * @param beforeShare attained share of the arrivals before the fault, after a warm-up.
 * @param afterShare attained share of the arrivals from the end of the fault to the end of the load.
 * @param recoverSeconds seconds from the end of the fault until 95% of beforeShare is attained again; -1 if it
 *     never is.
 * @param modelLoadsAtOnce largest number of concurrent model loads.
 * @param adapterLoadsAtOnce largest number of concurrent adapter loads.
 * @param overLimit number of loads that exceeded a limit on loads.
 * @param overcommits number of times that accelerator memory was overcommitted.
 * @param latestSendMillis largest delay with which the benchmark itself sent a request.
 * @param attainedShareBySecond attained share of the arrivals of each second.
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
record RunResult(
        String workload,
        String policy,
        String fault,
        long seed,
        long sent,
        long attained,
        double attainedPerAcceleratorSecond,
        long modelMoves,
        long adapterMoves,
        long refusedDidNotRun,
        long refusedUnknown,
        long late,
        double firstTokenP50Millis,
        double firstTokenP99Millis,
        long plainSent,
        long plainAttained,
        int mostRunsOfOneKey,
        double beforeShare,
        double afterShare,
        double recoverSeconds,
        int modelLoadsAtOnce,
        int adapterLoadsAtOnce,
        long overLimit,
        long overcommits,
        long latestSendMillis,
        List<Double> attainedShareBySecond) {

    double attainedShare() {
        return sent == 0 ? 0 : (double) attained / sent;
    }

    long moves() {
        return modelMoves + adapterMoves;
    }
}
