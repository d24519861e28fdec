package io.waxwingquay.common;

import java.io.EOFException;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntPredicate;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Sends HTTP requests and distinguishes those that were never sent from those whose answer was lost.
 */
public final class HttpCalls {

    private static final int MAX_REPLY_BYTES = 64 * 1024 * 1024;

    private static final Set<HttpHeader> FRAMING_FIELDS =
            EnumSet.of(HttpHeader.CONTENT_LENGTH, HttpHeader.TRANSFER_ENCODING);

    private static final IntPredicate HAS_BODY =
            status -> status != HttpStatus.NO_CONTENT_204 && status != HttpStatus.NOT_MODIFIED_304;

    private HttpCalls() {}

    /**
     * Starts a client that all callers of a process share.
     *
     * @param maxConnectionsPerDestination the maximum number of connections to one address; each open stream uses one.
     * @param connectTimeoutMillis the timeout for opening a connection.
     * @return the started client, to be stopped by its owner.
     */
    public static HttpClient startClient(int maxConnectionsPerDestination, long connectTimeoutMillis) {
        HttpClient client = new HttpClient();
        client.setMaxConnectionsPerDestination(maxConnectionsPerDestination);
        client.setMaxRequestsQueuedPerDestination(Integer.MAX_VALUE);
        client.setConnectTimeout(connectTimeoutMillis);
        client.setFollowRedirects(false);
        try {
            client.start();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot start the HTTP client", failure);
        }
        return client;
    }

    /**
     * Sets the JSON body of a request.
     *
     * @param request the request.
     * @param body the value to serialise.
     * @return the request.
     */
    public static Request json(Request request, Object body) {
        try {
            return request.body(new BytesRequestContent("application/json", Json.MAPPER.writeValueAsBytes(body)));
        } catch (com.fasterxml.jackson.core.JsonProcessingException failure) {
            throw new IllegalArgumentException("cannot write the body of " + request.getURI(), failure);
        }
    }

    /**
     * Sends a request and buffers the reply.
     *
     * @param request the request.
     * @param timeoutMillis the maximum time until the reply is complete.
     * @return the reply, whatever its status; fails with {@link Failure}.
     */
    public static CompletableFuture<Reply> send(Request request, long timeoutMillis) {
        CompletableFuture<Reply> future = new CompletableFuture<>();
        SendTracker tracker = SendTracker.of(request);
        request.timeout(timeoutMillis, TimeUnit.MILLISECONDS).send(new BufferingResponseListener(MAX_REPLY_BYTES) {

            private boolean isFramed;

            /** {@inheritDoc} */
            @Override
            public boolean onHeader(Response response, HttpField field) {
                isFramed |= FRAMING_FIELDS.contains(field.getHeader());
                return super.onHeader(response, field);
            }

            /** {@inheritDoc} */
            @Override
            public void onComplete(Result result) {
                if (result.isFailed()) {
                    future.completeExceptionally(tracker.failure(result.getFailure()));
                    return;
                }
                if (!isFramed && HAS_BODY.test(result.getResponse().getStatus())) {
                    // The client reads a reset as an orderly close, so that a cut body can't be told from a whole one.
                    future.completeExceptionally(
                            tracker.failure(new EOFException("the reply has neither a length nor chunks")));
                    return;
                }
                String type = getMediaType() == null ? "application/octet-stream" : getMediaType();
                byte[] body = getContent() == null ? new byte[0] : getContent();
                future.complete(new Reply(result.getResponse().getStatus(), type, body));
            }
        });
        return future;
    }

    /**
     * A complete reply.
     *
     * @param statusCode the HTTP status code.
     * @param contentType the media type of the body.
     * @param body the body.
     */
    public record Reply(int statusCode, String contentType, byte[] body) {

        /**
         * Deserialises the JSON body.
         *
         * @param type the type of the value.
         * @param <T> the type of the value.
         * @return the value.
         */
        public <T> T read(Class<T> type) {
            try {
                return Json.MAPPER.readValue(body, type);
            } catch (java.io.IOException failure) {
                throw new IllegalArgumentException("reply is not a " + type.getSimpleName(), failure);
            }
        }
    }

    /** A request that got no complete reply. */
    public static final class Failure extends RuntimeException {

        private static final long serialVersionUID = 1L;

        private final boolean maybeSent;

        Failure(boolean sent, String message, Throwable cause) {
            super(message, cause);
            this.maybeSent = sent;
        }

        /**
         * Checks whether any byte of the request may have left this process.
         *
         * @return {@code false} only if the peer certainly received nothing.
         */
        public boolean mayHaveBeenSent() {
            return maybeSent;
        }
    }

    /**
     * Tracks whether a request was sent, and decides it atomically. Otherwise a request that fails while it waits for a
     * connection could be reported as never sent and still be sent a moment later.
     */
    public static final class SendTracker {

        private enum State {
            WAITING,
            SENT,
            ABORTED
        }

        private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);
        private final String uri;

        private SendTracker(Request request) {
            this.uri = String.valueOf(request.getURI());
        }

        /**
         * Tracks a request that has not been passed to the client yet.
         *
         * @param request the request.
         * @return the tracker of the request.
         */
        public static SendTracker of(Request request) {
            SendTracker tracker = new SendTracker(request);
            request.onRequestBegin(tracker::onBegin);
            return tracker;
        }

        /**
         * Decides the final state of a failed request.
         *
         * @param cause the client's failure.
         * @return a failure that says whether the request may have been sent.
         */
        public Failure failure(Throwable cause) {
            boolean wasNeverSent = state.compareAndSet(State.WAITING, State.ABORTED) || state.get() == State.ABORTED;
            String outcome = wasNeverSent ? "was not sent" : "got no whole answer";
            return new Failure(!wasNeverSent, "request to " + uri + " " + outcome + ": " + cause, cause);
        }

        /**
         * Aborts a request if it has not begun, for example because every connection is in use.
         *
         * @param request the request.
         */
        public void abortIfUnsent(Request request) {
            if (state.compareAndSet(State.WAITING, State.ABORTED)) {
                request.abort(new TimeoutException("no connection was available in time"));
            }
        }

        private void onBegin(Request request) {
            if (!state.compareAndSet(State.WAITING, State.SENT) && state.get() == State.ABORTED) {
                request.abort(new IllegalStateException("aborted before it was sent"));
            }
        }
    }
}
