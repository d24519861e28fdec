package io.waxwingquay.entry;

import io.waxwingquay.transport.generated.Execution;
import java.util.concurrent.CompletionException;

/**
 * The final answer to a request that failed.
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
     * A request that was refused before anything was handed on.
     *
     * @param code why.
     * @param element the field, header or name at fault.
     * @param message what is wrong and how to mend it.
     * @return the failure.
     */
    public static CallFailure rejected(FailureCode code, String element, String message) {
        return new CallFailure(code, message, element, Execution.DID_NOT_RUN, 0);
    }

    /**
     * A request that failed with a known or unknown outcome.
     *
     * @param code why.
     * @param element the side, key or name concerned.
     * @param message what happened.
     * @param execution whether the request ran.
     * @return the failure.
     */
    public static CallFailure of(FailureCode code, String element, String message, Execution execution) {
        return new CallFailure(code, message, element, execution, 0);
    }

    /**
     * The same failure with a come-back time.
     *
     * @param millis when the caller should come back; 0 for no advice.
     * @return the new failure.
     */
    public CallFailure withRetryAfterMillis(long millis) {
        return new CallFailure(code, getMessage(), element, execution, millis);
    }

    /**
     * The same failure with what is known of all tries of the request.
     *
     * @param known whether the request ran in any of them.
     * @return the new failure.
     */
    public CallFailure withExecution(Execution known) {
        return new CallFailure(code, getMessage(), element, known, retryAfterMillis);
    }

    /**
     * Turns any failure into the caller's answer. An unforeseen one has an unknown outcome.
     *
     * @param failure the failure, possibly wrapped by a future.
     * @return the answer.
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
     * Why it failed.
     *
     * @return the code.
     */
    public FailureCode code() {
        return code;
    }

    /**
     * What is at fault or concerned.
     *
     * @return the element's name.
     */
    public String element() {
        return element;
    }

    /**
     * Whether the request ran.
     *
     * @return the outcome.
     */
    public Execution execution() {
        return execution;
    }

    /**
     * When to come back.
     *
     * @return milliseconds; 0 for no advice.
     */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
