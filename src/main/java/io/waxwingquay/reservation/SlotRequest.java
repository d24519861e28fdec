package io.waxwingquay.reservation;

import io.waxwingquay.common.HostPort;
import java.util.Optional;

/**
 * A request of an entry for a slot of the engine.
 *
 * @param key identifies it among all requests for slots of the engine.
 * @param attemptId the id by which the engine's report lists the request once it runs.
 * @param model the requested model.
 * @param adapter the requested adapter of that model.
 * @param promptTokens tokens of the prompt.
 * @param outputTokens tokens that the answer is expected to have.
 * @param rank its rank.
 * @param account the name of its client account.
 * @param accountWeight the weight of the account's fair share; above 0.
 * @param ageMillis how long its caller has waited since the first attempt.
 * @param maxWaitMillis how much longer it can wait for the slot.
 * @param pauseObjectiveMillis the longest intended pause between events of its stream; 0 if there is none.
 */
public record SlotRequest(
        Key key,
        String attemptId,
        String model,
        Optional<String> adapter,
        long promptTokens,
        long outputTokens,
        Rank rank,
        Optional<String> account,
        double accountWeight,
        long ageMillis,
        long maxWaitMillis,
        long pauseObjectiveMillis) {

    /**
     * The identity of a request for a slot.
     *
     * @param entry the address from which the entry sends its datagrams.
     * @param id the number that the entry gave it.
     */
    public record Key(HostPort entry, long id) {}
}
