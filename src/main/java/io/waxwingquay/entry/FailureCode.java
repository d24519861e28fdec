package io.waxwingquay.entry;

import java.util.Locale;

/**
 * Reasons for which a request fails, as sent to the caller, each with its HTTP status.
 */
public enum FailureCode {
    /** The body is not the JSON that the path accepts. */
    MALFORMED_BODY(400),
    /** The body has a field that the path does not accept. */
    UNKNOWN_FIELD(400),
    /** The value of a header or field is out of range. */
    BAD_VALUE(400),
    /** The deadline is not a whole number of milliseconds in range. */
    BAD_DEADLINE(400),
    /** A non-idempotent operation was called without a key. */
    MISSING_IDEMPOTENCY_KEY(400),
    /** The path does not exist. */
    UNKNOWN_PATH(404),
    /** The path requires another HTTP method. */
    WRONG_METHOD(405),
    /** No bundle names the model. */
    UNKNOWN_MODEL(404),
    /** No bundle names the adapter for the model. */
    UNKNOWN_ADAPTER(404),
    /** No bundle names the service. */
    UNKNOWN_SERVICE(404),
    /** No bundle names the operation of the service. */
    UNKNOWN_OPERATION(404),
    /** A call with this key is still running. */
    IN_PROGRESS(409),
    /** Whether the call with this key ran can no longer be determined. */
    OUTCOME_UNKNOWN(409),
    /** The call with this key ran, but its answer was too large to keep. */
    OUTCOME_NOT_KEPT(409),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE(413),
    /** The key was used for another request. */
    KEY_REUSED(422),
    /** The request was running when targets crashed. */
    QUARANTINED(422),
    /** The caller has disconnected. */
    CALLER_GONE(499),
    /** Internal error of this process. */
    INTERNAL(500),
    /** The target crashed or is unreachable. */
    TARGET_DOWN(502),
    /** The connection to the side process was lost and could not be resumed. */
    CONNECTION_LOST(502),
    /** The answer ended before its end marker. */
    INCOMPLETE(502),
    /** The target refused the request or failed to run it. */
    TARGET_FAILED(502),
    /** No bundle has been verified yet. */
    NOT_READY(503),
    /** This process is shutting down. */
    DRAINING(503),
    /** No side process can serve the request now. */
    NO_TARGET(503),
    /** Every side process tried was overloaded or leaving. */
    OVERLOADED(503),
    /** The model is not in memory at the side processes tried. */
    NOT_RESIDENT(503),
    /** The platform's table service does not answer, so the call cannot be claimed. */
    TABLE_OUT(503),
    /** The deadline passed before the answer was complete. */
    DEADLINE(504);

    private final int httpStatus;

    FailureCode(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status.
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the code that answers and metrics use.
     *
     * @return the name in lower case.
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
