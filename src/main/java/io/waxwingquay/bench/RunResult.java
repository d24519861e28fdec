package io.waxwingquay.bench;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import java.util.List;

/**
 * The figures of one run. Moves count from when every model was served and nothing was being loaded.
 *
 * @param workload the workload.
 * @param policy the policy.
 * @param fault the fault.
 * @param seed the seed.
 * @param sent completions sent.
 * @param attained completions answered whole within their deadline.
 * @param attainedPerAcceleratorSecond the same per accelerator and second.
 * @param modelMoves loads and evictions of models.
 * @param adapterMoves loads and evictions of adapters.
 * @param refusedDidNotRun answers that say the request did not run.
 * @param refusedUnknown answers that say it may have run, or connections that broke.
 * @param late whole answers after the deadline.
 * @param firstTokenP50Millis median time to the first token.
 * @param firstTokenP99Millis 99th percentile of it.
 * @param plainSent calls to plain services.
 * @param plainAttained of these, answered within their deadline.
 * @param mostRunsOfOneKey the most runs that any idempotency key had.
 * @param beforeShare share of arrivals attained before the fault.
 * @param afterShare share of arrivals attained from the fault's end to the end of the load.
 * @param recoverSeconds from the fault's end to 95% of the share before; -1 if it did not come.
 * @param modelLoadsAtOnce most model loads in flight at once.
 * @param adapterLoadsAtOnce most adapter loads in flight at once.
 * @param overLimit loads beyond either limit.
 * @param overcommits moments at which accelerator memory was overcommitted.
 * @param latestSendMillis how late the bench itself sent, at worst.
 * @param attainedShareBySecond share of the arrivals of each second that were attained.
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
