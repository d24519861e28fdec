package io.waxwingquay.entry;

import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.Refusal;
import io.waxwingquay.transport.generated.RefusalReason;
import java.util.Optional;

/**
 * Describes how one attempt at one side process ended.
 *
 * @param kind how it ended.
 * @param execution whether the target ran it.
 * @param reason why the side process refused or failed it, if it gave a reason.
 * @param message what happened.
 * @param retryAfterMillis the retry-after delay; 0 for none.
 * @param statusCode the HTTP status of a plain service; 0 for none.
 * @param contentType the media type of a plain service's answer; empty for none.
 * @param units the number of units of a complete answer.
 * @param startRuledOut whether the attempt can no longer start, for example by a submission still under way.
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

    /** Kinds of results. */
    public enum Kind {
        /** The answer is complete. */
        DONE,
        /** The side process refused the attempt, or its target failed it. */
        FAILED,
        /** The side process is unreachable or unresponsive, or was restarted. */
        LOST,
        /** The answer lacks its end. */
        INCOMPLETE,
        /** The deadline passed. */
        DEADLINE,
        /** The caller disconnected. */
        CALLER_GONE
    }

    /**
     * Creates the result of an attempt with a complete answer.
     *
     * @param units the number of units of the answer.
     * @param statusCode the HTTP status of a plain service, else 0.
     * @param contentType the media type of a plain service's answer, else empty.
     * @return the result.
     */
    static AttemptResult completed(long units, int statusCode, String contentType) {
        return new AttemptResult(
                Kind.DONE, Execution.RAN, Optional.empty(), "", 0, statusCode, contentType, units, true);
    }

    /**
     * Creates the result of an attempt for which the side process reported a refusal or failure.
     *
     * @param refusal the report.
     * @param execution whether the target ran the attempt, as far as this process can conclude from the report.
     * @param startRuledOut whether the attempt can no longer start.
     * @return the result.
     */
    static AttemptResult failed(Refusal refusal, Execution execution, boolean startRuledOut) {
        return new AttemptResult(
                Kind.FAILED,
                execution,
                Optional.ofNullable(refusal.getReason()),
                String.valueOf(refusal.getMessage()),
                refusal.getRetryAfterMillis(),
                0,
                "",
                0,
                startRuledOut);
    }

    /**
     * Creates the result of an attempt that ended without a report of failure from the side process.
     *
     * @param kind how it ended.
     * @param execution whether the target ran it.
     * @param message what happened.
     * @return the result.
     */
    static AttemptResult interrupted(Kind kind, Execution execution, String message) {
        boolean startRuledOut = execution == Execution.DID_NOT_RUN;
        return new AttemptResult(kind, execution, Optional.empty(), message, 0, 0, "", 0, startRuledOut);
    }

    /**
     * Converts this result into the failure that the caller receives.
     *
     * @param element the id of the side process.
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
