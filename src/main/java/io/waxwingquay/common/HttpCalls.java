package io.waxwingquay.common;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;

/**
 * Sends HTTP requests and keeps apart those that were never sent from those whose answer was lost.
 */
public final class HttpCalls {

    private static final int MAX_REPLY_BYTES = 64 * 1024 * 1024;

    private HttpCalls() {}

    /**
     * Starts a client to share between all callers of a process.
     *
     * @param maxConnectionsPerDestination open connections to one address; each open stream holds one.
     * @param connectTimeoutMillis how long a connect may take.
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
     * Gives a request a JSON body.
     *
     * @param request the request.
     * @param body the value to write.
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
     * Sends a request and collects the reply.
     *
     * @param request the request.
     * @param timeoutMillis the most time from now to the whole reply.
     * @return the reply, whatever its status; fails with {@link Failure}.
     */
    public static CompletableFuture<Reply> send(Request request, long timeoutMillis) {
        CompletableFuture<Reply> future = new CompletableFuture<>();
        SendTracker tracker = SendTracker.of(request);
        request.timeout(timeoutMillis, TimeUnit.MILLISECONDS).send(new BufferingResponseListener(MAX_REPLY_BYTES) {
            /** {@inheritDoc} */
            @Override
            public void onComplete(Result result) {
                if (result.isFailed()) {
                    future.completeExceptionally(tracker.failure(result.getFailure()));
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
     * A whole reply.
     *
     * @param statusCode the HTTP status.
     * @param contentType type of the body.
     * @param body the body.
     */
    public record Reply(int statusCode, String contentType, byte[] body) {

        /**
         * Reads the JSON body.
         *
         * @param type the type to read.
         * @param <T> the type to read.
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

    /** A request without a reply. */
    public static final class Failure extends RuntimeException {

        private static final long serialVersionUID = 1L;

        private final boolean maybeSent;

        Failure(boolean sent, String message, Throwable cause) {
            super(message, cause);
            this.maybeSent = sent;
        }

        /**
         * Whether any byte of the request may have left this process.
         *
         * @return {@code false} only if the peer certainly saw nothing.
         */
        public boolean mayHaveBeenSent() {
            return maybeSent;
        }
    }

    /**
     * Whether a request was sent, decided once. Without the single decision a request that fails while it waits
     * for a connection could be reported as never sent and leave a moment later all the same.
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
         * Follows a request that has not been handed to the client yet.
         *
         * @param request the request.
         * @return its sending state.
         */
        public static SendTracker of(Request request) {
            SendTracker tracker = new SendTracker(request);
            request.onRequestBegin(tracker::onBegin);
            return tracker;
        }

        /**
         * Settles the state for a failed request.
         *
         * @param cause the client's failure.
         * @return the failure with what is known.
         */
        public Failure failure(Throwable cause) {
            boolean wasNeverSent = state.compareAndSet(State.WAITING, State.ABORTED) || state.get() == State.ABORTED;
            String outcome = wasNeverSent ? "was not sent" : "got no whole answer";
            return new Failure(!wasNeverSent, "request to " + uri + " " + outcome + ": " + cause, cause);
        }

        /**
         * Gives a request up if it has not begun, for example because every connection is taken.
         *
         * @param request the request.
         */
        public void abortIfUnsent(Request request) {
            if (state.compareAndSet(State.WAITING, State.ABORTED)) {
                request.abort(new TimeoutException("no connection in time"));
            }
        }

        private void onBegin(Request request) {
            if (!state.compareAndSet(State.WAITING, State.SENT) && state.get() == State.ABORTED) {
                request.abort(new IllegalStateException("given up before it was sent"));
            }
        }
    }
}
