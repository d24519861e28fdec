package io.waxwingquay.standin;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A stand-in's reply to a request.
 *
 * @param statusCode the HTTP status code.
 * @param contentType the media type of the body.
 * @param body the body.
 * @param stateChanged whether the request changed the state of the stand-in, so that its reply may be lost on purpose.
 * @param connectionClosed whether the connection is closed instead of sending a reply.
 * @param stream writes the body incrementally, if present.
 */
record StandinReply(
        int statusCode,
        String contentType,
        byte[] body,
        boolean stateChanged,
        boolean connectionClosed,
        Optional<Consumer<StandinServer.PendingResponse>> stream) {

    static final int OK = 200;
    static final int ACCEPTED = 202;
    static final int NO_CONTENT = 204;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int CONFLICT = 409;
    static final int PRECONDITION_FAILED = 412;

    private static final int INTERNAL_SERVER_ERROR = 500;
    private static final String JSON = "application/json";

    static StandinReply of(int statusCode, String contentType, byte[] body) {
        return new StandinReply(statusCode, contentType, body, false, false, Optional.empty());
    }

    static StandinReply json(int statusCode, Object value) {
        return of(statusCode, JSON, StandinServer.json(value).getBytes(StandardCharsets.UTF_8));
    }

    static StandinReply empty(int statusCode) {
        return of(statusCode, JSON, new byte[0]);
    }

    static StandinReply error(int statusCode, String message) {
        return json(statusCode, new Problem(message));
    }

    static StandinReply closedConnection() {
        return new StandinReply(INTERNAL_SERVER_ERROR, JSON, new byte[0], false, true, Optional.empty());
    }

    static StandinReply eventStream(Consumer<StandinServer.PendingResponse> writer) {
        return new StandinReply(OK, "text/event-stream", new byte[0], false, false, Optional.of(writer));
    }

    static StandinReply fromSupplier(Supplier<StandinReply> supplier) {
        try {
            return supplier.get();
        } catch (RuntimeException failure) {
            return ofFailure(failure);
        }
    }

    static StandinReply ofFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof IllegalArgumentException
                ? error(BAD_REQUEST, String.valueOf(cause.getMessage()))
                : error(INTERNAL_SERVER_ERROR, String.valueOf(cause));
    }

    StandinReply withStateChanged() {
        return new StandinReply(statusCode, contentType, body, true, connectionClosed, stream);
    }

    /**
     * The body of an error reply.
     *
     * @param error the reason why the request was not served.
     */
    record Problem(String error) {}
}
