package io.waxwingquay.entry;

import io.waxwingquay.transport.generated.Execution;
import java.util.concurrent.CompletionException;

/**
 * Represents the final failure of a request, as its caller receives it.
 */
public final class CallFailure extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final FailureCode code;
    private final String element;
    private final Execution execution;
    private final long retryAfterMillis;

    private CallFailure(FailureCode code, String message, String element, Execution execution, long retryAfterMillis) {
        super(message, null, false, false);
        this.code = code;
        this.element = element;
        this.execution = execution;
        this.retryAfterMillis = retryAfterMillis;
    }

    /**
     * Creates the failure of a request that was rejected before it was sent to any side process.
     *
     * @param code the reason.
     * @param element the invalid field, header or name.
     * @param message what is wrong and how to correct it.
     * @return the failure.
     */
    public static CallFailure rejected(FailureCode code, String element, String message) {
        return new CallFailure(code, message, element, Execution.DID_NOT_RUN, 0);
    }

    /**
     * Creates the failure of a request that may have run.
     *
     * @param code the reason.
     * @param element the side, key or name that the failure concerns.
     * @param message what happened.
     * @param execution whether the request ran.
     * @return the failure.
     */
    public static CallFailure of(FailureCode code, String element, String message, Execution execution) {
        return new CallFailure(code, message, element, execution, 0);
    }

    /**
     * Returns a copy of this failure with a retry-after delay.
     *
     * @param millis the retry-after delay; 0 for none.
     * @return the copy.
     */
    public CallFailure withRetryAfterMillis(long millis) {
        return new CallFailure(code, getMessage(), element, execution, millis);
    }

    /**
     * Returns a copy of this failure with the execution over all attempts of the request.
     *
     * @param known whether the request ran in any of the attempts, as far as known.
     * @return the copy.
     */
    public CallFailure withExecution(Execution known) {
        return new CallFailure(code, getMessage(), element, known, retryAfterMillis);
    }

    /**
     * Converts any failure into the one that the caller receives. The execution of an unexpected failure is unknown.
     *
     * @param failure the failure, possibly wrapped by a future.
     * @return the failure for the caller.
     */
    public static CallFailure from(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause instanceof CallFailure known
                ? known
                : of(FailureCode.INTERNAL, "entry", "unexpected: " + cause, Execution.UNKNOWN);
    }

    /**
     * Returns the reason of the failure.
     *
     * @return the code.
     */
    public FailureCode code() {
        return code;
    }

    /**
     * Returns what the failure concerns.
     *
     * @return the name of the element.
     */
    public String element() {
        return element;
    }

    /**
     * Returns whether the request ran.
     *
     * @return the execution.
     */
    public Execution execution() {
        return execution;
    }

    /**
     * Returns the retry-after delay.
     *
     * @return the delay in milliseconds; 0 for none.
     */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
