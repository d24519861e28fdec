package io.waxwingquay.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.waxwingquay.chart.StateChart;
import io.waxwingquay.common.Json;
import java.util.Optional;

/**
 * The table row that lets a non-idempotent call run at most once. Only the named side, in the named epoch, may run the
 * named attempt.
 *
 * @param attemptId the attempt that holds the claim.
 * @param sideId the side that may run it.
 * @param sideEpoch the boot epoch in which that side may run it.
 * @param state the state of the call.
 * @param requestFingerprint hash of the operation and body, which detects a key reused for another request.
 * @param outcome the answer, once settled.
 * @param claimedAtEpochMillis when the attempt was created, by the wall clock of its entry.
 */
public record ClaimRecord(
        String attemptId,
        String sideId,
        long sideEpoch,
        State state,
        long requestFingerprint,
        Optional<Outcome> outcome,
        long claimedAtEpochMillis) {

    /** The name of the state chart of claims. */
    public static final String CHART_NAME = "claim";

    private static final StateChart<State, Event> CHART = StateChart.load(CHART_NAME, State.class, Event.class);

    /** The state of a claimed call. */
    public enum State {
        /** It may be running, or may have run without a recorded outcome. */
        CLAIMED,
        /** It ran, and its outcome is recorded. */
        SETTLED,
        /** It did not run and never will under this attempt. */
        DID_NOT_RUN
    }

    /** Events of a claim. {@code charts/claim.chart} defines the transitions. */
    public enum Event {
        /** The side process reported the outcome. */
        SETTLE,
        /** The side process answered that the attempt did not run and never will. */
        WITHDRAW,
        /** A new attempt takes its place. */
        RECLAIM
    }

    /**
     * A recorded answer.
     *
     * @param status the target's HTTP status.
     * @param contentType the body's media type.
     * @param body the body; base64 in the row.
     * @param bodyOmitted whether the body was too large to record.
     */
    public record Outcome(int status, String contentType, byte[] body, boolean bodyOmitted) {

        /**
         * Creates an outcome, and omits a body that is too large for a row.
         *
         * @param status the target's HTTP status.
         * @param contentType the body's media type.
         * @param body the body.
         * @param limitBytes the largest body recorded.
         * @return the outcome.
         */
        public static Outcome bounded(int status, String contentType, byte[] body, int limitBytes) {
            boolean omitted = body.length > limitBytes;
            return new Outcome(status, contentType, omitted ? new byte[0] : body, omitted);
        }
    }

    /**
     * Creates a claim.
     *
     * @param attemptId the attempt.
     * @param sideId the side that may run it.
     * @param sideEpoch the epoch in which that side may run it.
     * @param requestFingerprint hash of the request.
     * @param nowEpochMillis the wall-clock time.
     * @return the record.
     */
    public static ClaimRecord of(
            String attemptId, String sideId, long sideEpoch, long requestFingerprint, long nowEpochMillis) {
        return new ClaimRecord(
                attemptId, sideId, sideEpoch, CHART.initial(), requestFingerprint, Optional.empty(), nowEpochMillis);
    }

    /**
     * Creates a copy of this claim with its outcome.
     *
     * @param answer the target's answer.
     * @return the new record.
     */
    public ClaimRecord settled(Outcome answer) {
        return new ClaimRecord(
                attemptId,
                sideId,
                sideEpoch,
                nextState(Event.SETTLE),
                requestFingerprint,
                Optional.of(answer),
                claimedAtEpochMillis);
    }

    /**
     * Creates a copy of this claim whose attempt was withdrawn or rejected.
     *
     * @return the new record.
     */
    public ClaimRecord notRun() {
        return new ClaimRecord(
                attemptId,
                sideId,
                sideEpoch,
                nextState(Event.WITHDRAW),
                requestFingerprint,
                Optional.empty(),
                claimedAtEpochMillis);
    }

    /**
     * Creates the claim of a new attempt that replaces this one.
     *
     * @param next the claim of the new attempt.
     * @return the claim of the new attempt, with the transition checked.
     * @throws io.waxwingquay.chart.ChartException.IllegalEvent unless this attempt did not run and never will.
     */
    public ClaimRecord reclaimedBy(ClaimRecord next) {
        return new ClaimRecord(
                next.attemptId,
                next.sideId,
                next.sideEpoch,
                nextState(Event.RECLAIM),
                next.requestFingerprint,
                Optional.empty(),
                next.claimedAtEpochMillis);
    }

    private State nextState(Event event) {
        return CHART.next(state, event).orElse(state);
    }

    /**
     * Serializes the record to the value of its row.
     *
     * @return JSON.
     */
    public String toJson() {
        try {
            return Json.MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException failure) {
            throw new ClaimException("claim of attempt '" + attemptId + "' cannot be written as JSON", failure);
        }
    }

    /**
     * Deserializes the value of a row.
     *
     * @param json the value.
     * @return the record.
     * @throws ClaimException if the value is not a claim.
     */
    public static ClaimRecord fromJson(String json) {
        try {
            return Json.MAPPER.readValue(json, ClaimRecord.class);
        } catch (JsonProcessingException failure) {
            throw new ClaimException("claim row cannot be read: " + failure.getOriginalMessage(), failure);
        }
    }
}
