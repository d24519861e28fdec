package io.waxwingquay.entry;

import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.Refusal;
import io.waxwingquay.transport.generated.RefusalReason;
import java.util.Optional;

/**
 * How one attempt at one side process ended.
 *
 * @param kind the way it ended.
 * @param execution whether the target ran it.
 * @param reason why the side process refused or failed it, if it said so.
 * @param message what happened.
 * @param retryAfterMillis when to come back; 0 for no advice.
 * @param statusCode the plain service's HTTP status; 0 for none.
 * @param contentType the plain service's media type; empty for none.
 * @param units units of a whole answer.
 * @param startRuledOut whether the attempt can never start from now on.
 */
public record AttemptResult(
        Kind kind,
        Execution execution,
        Optional<RefusalReason> reason,
        String message,
        long retryAfterMillis,
        int statusCode,
        String contentType,
        long units,
        boolean startRuledOut) {

    /** The ways an attempt ends. */
    public enum Kind {
        /** With a whole answer. */
        DONE,
        /** Refused by the side process or failed by its target. */
        FAILED,
        /** Without an answer: the side process cannot be reached. */
        LOST,
        /** With an answer that lacks its end. */
        INCOMPLETE,
        /** With its time over. */
        DEADLINE,
        /** With its caller gone. */
        CALLER_GONE
    }

    /**
     * A whole answer.
     *
     * @param units its units.
     * @param statusCode the HTTP status of a plain service, else 0.
     * @param contentType the media type, else empty.
     * @return the end.
     */
    static AttemptResult completed(long units, int statusCode, String contentType) {
        return new AttemptResult(
                Kind.DONE, Execution.RAN, Optional.empty(), "", 0, statusCode, contentType, units, true);
    }

    /**
     * A refusal or failure told by the side process.
     *
     * @param refusal what it told.
     * @param execution whether the target ran it, as far as this process may believe it.
     * @param certain whether the attempt can never start from now on.
     * @return the end.
     */
    static AttemptResult failed(Refusal refusal, Execution execution, boolean certain) {
        return new AttemptResult(
                Kind.FAILED,
                execution,
                Optional.ofNullable(refusal.getReason()),
                String.valueOf(refusal.getMessage()),
                refusal.getRetryAfterMillis(),
                0,
                "",
                0,
                certain);
    }

    /**
     * An end without a word from the side process.
     *
     * @param kind the way.
     * @param execution whether the target ran it.
     * @param message what happened.
     * @return the end.
     */
    static AttemptResult interrupted(Kind kind, Execution execution, String message) {
        boolean certain = execution == Execution.DID_NOT_RUN;
        return new AttemptResult(kind, execution, Optional.empty(), message, 0, 0, "", 0, certain);
    }

    /**
     * The caller's answer to this end.
     *
     * @param element the side process concerned.
     * @return the failure.
     */
    CallFailure toFailure(String element) {
        return CallFailure.of(code(), element, message, execution).withRetryAfterMillis(retryAfterMillis);
    }

    private FailureCode code() {
        return switch (kind) {
            case DEADLINE -> FailureCode.DEADLINE;
            case CALLER_GONE -> FailureCode.CALLER_GONE;
            case LOST -> FailureCode.CONNECTION_LOST;
            case INCOMPLETE -> FailureCode.INCOMPLETE;
            default -> reason.map(AttemptResult::code).orElse(FailureCode.TARGET_FAILED);
        };
    }

    private static FailureCode code(RefusalReason reason) {
        return switch (reason) {
            case OVERLOADED, LIMIT, SUSPECT_BUSY, LEAVING, NOT_READY -> FailureCode.OVERLOADED;
            case NOT_RESIDENT -> FailureCode.NOT_RESIDENT;
            case QUARANTINED -> FailureCode.QUARANTINED;
            case DEADLINE -> FailureCode.DEADLINE;
            case MALFORMED -> FailureCode.MALFORMED_BODY;
            case TARGET_DOWN -> FailureCode.TARGET_DOWN;
            default -> FailureCode.TARGET_FAILED;
        };
    }
}
