package io.waxwingquay.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.waxwingquay.chart.StateChart;
import io.waxwingquay.common.Json;
import java.util.Optional;

/**
 * The row that lets a non-idempotent call run at most once. Only the named side, in the named epoch, may run
 * the named attempt.
 *
 * @param attemptId the attempt that holds the claim.
 * @param sideId the side that may run it.
 * @param sideEpoch the boot epoch in which that side may run it.
 * @param state how far the call has come.
 * @param requestFingerprint hash of the operation and body, to catch a key used for another request.
 * @param outcome the answer, once settled.
 * @param claimedAtEpochMillis when the attempt was made, by the wall clock of its entry.
 */
public record ClaimRecord(
        String attemptId,
        String sideId,
        long sideEpoch,
        State state,
        long requestFingerprint,
        Optional<Outcome> outcome,
        long claimedAtEpochMillis) {

    /** The name of the chart. */
    public static final String CHART_NAME = "claim";

    private static final StateChart<State, Event> CHART = StateChart.load(CHART_NAME, State.class, Event.class);

    /** How far a claimed call has come. */
    public enum State {
        /** It may be running, or may have run without a recorded outcome. */
        CLAIMED,
        /** It ran, and its outcome is recorded. */
        SETTLED,
        /** It did not run and never will under this attempt. */
        DID_NOT_RUN
    }

    /** What moves a claim. {@code charts/claim.chart} has the moves. */
    public enum Event {
        /** The side process reported the outcome. */
        SETTLE,
        /** The side process answered that it did not run and never will. */
        WITHDRAW,
        /** A new attempt takes its place. */
        RECLAIM
    }

    /**
     * A recorded answer.
     *
     * @param status the target's HTTP status.
     * @param contentType the body's media type.
     * @param body the body; in base64 within the row.
     * @param bodyOmitted whether the body was too large to record.
     */
    public record Outcome(int status, String contentType, byte[] body, boolean bodyOmitted) {

        /**
         * An outcome whose body is left out if it is too large for a row.
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
     * A new claim.
     *
     * @param attemptId the attempt.
     * @param sideId the side that may run it.
     * @param sideEpoch the epoch in which it may.
     * @param requestFingerprint hash of the request.
     * @param nowEpochMillis the wall clock.
     * @return the record.
     */
    public static ClaimRecord of(
            String attemptId, String sideId, long sideEpoch, long requestFingerprint, long nowEpochMillis) {
        return new ClaimRecord(
                attemptId, sideId, sideEpoch, CHART.initial(), requestFingerprint, Optional.empty(), nowEpochMillis);
    }

    /**
     * The same claim with its outcome.
     *
     * @param answer what the target answered.
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
     * The same claim, after its attempt was withdrawn or refused.
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
     * The claim of a new attempt that takes the place of this one.
     *
     * @param next the claim of the new attempt.
     * @return the same, checked.
     * @throws io.waxwingquay.chart.ChartException.IllegalEvent unless this one did not run and never will.
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
     * Writes the record as the row's value.
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
     * Reads a row's value.
     *
     * @param json the value.
     * @return the record.
     * @throws ClaimException if the value is no claim.
     */
    public static ClaimRecord fromJson(String json) {
        try {
            return Json.MAPPER.readValue(json, ClaimRecord.class);
        } catch (JsonProcessingException failure) {
            throw new ClaimException("claim row is not readable: " + failure.getOriginalMessage(), failure);
        }
    }
}
