package io.waxwingquay.forward;

import java.util.function.IntSupplier;
import java.util.function.Predicate;

/**
 * Ends one request that gets no complete answer of a replica, unless one that was silent may still answer. The response
 * tells whether a replica may have begun to run the request, and a stream that has begun is aborted, so that it does not
 * look complete.
 */
final class RequestFailure {

    /** Default retry-after delay, by which most lost replicas are replaced or found again. */
    static final long DEFAULT_RETRY_AFTER_MILLIS = 400L;

    private final CallerResponder responder;
    private final RequestTerms terms;
    private final StreamProgress stream;
    private final CurrentAttempt attempt;
    private final Predicate<String> goBackToSilent;
    private final End end;
    private String lastReason = "";

    /**
     * Creates the failure of a request that has not failed.
     *
     * @param responder writes the response.
     * @param terms the terms of the request.
     * @param stream the progress of its stream.
     * @param attempt tells whether the request may have run.
     * @param goBackToSilent goes on, for a reason, at a replica that was silent; returns whether there is one.
     * @param end ends the request.
     */
    RequestFailure(
            CallerResponder responder,
            RequestTerms terms,
            StreamProgress stream,
            CurrentAttempt attempt,
            Predicate<String> goBackToSilent,
            End end) {
        this.responder = responder;
        this.terms = terms;
        this.stream = stream;
        this.attempt = attempt;
        this.goBackToSilent = goBackToSilent;
        this.end = end;
    }

    /** Returns why the last attempt failed; an empty text if none has. */
    String lastReason() {
        return lastReason;
    }

    void lastReason(String why) {
        lastReason = why;
    }

    /** Ends a request that no replica takes; it is rejected in the given way if it has certainly not run. */
    void notPlaced(String why, IntSupplier reject) {
        if (attempt.mayHaveRun()) {
            giveUp(lastReason.isEmpty() ? why : lastReason);
        } else {
            reject(why, reject);
        }
    }

    void giveUp(String why) {
        if (goBackToSilent.test(why)) {
            return;
        }
        if (stream.hasBegun()) {
            abortStream(why);
        } else if (attempt.mayHaveRun()) {
            end.end(responder.badGateway(), why);
        } else {
            reject(why, () -> responder.reject(why, DEFAULT_RETRY_AFTER_MILLIS));
        }
    }

    void abortStream(String why) {
        if (!goBackToSilent.test(why)) {
            end.end(responder.abort(), why);
        }
    }

    void deadlineExceeded() {
        boolean wasSent = attempt.isRunning() || attempt.mayHaveRun();
        String why = "its time is over";
        attempt.cancel();
        if (stream.hasBegun()) {
            abortStream(why);
        } else if (wasSent) {
            end.end(responder.gatewayTimeout(), why);
        } else {
            reject(why, () -> responder.reject(why, DEFAULT_RETRY_AFTER_MILLIS));
        }
    }

    private void reject(String why, IntSupplier reject) {
        terms.admission().giveBack();
        end.end(reject.getAsInt(), why);
    }

    /** Ends a request. */
    @FunctionalInterface
    interface End {

        /** Notes the status that the caller saw, and why. */
        void end(int status, String why);
    }
}
