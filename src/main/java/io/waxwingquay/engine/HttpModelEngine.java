package io.waxwingquay.engine;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Client of a model engine over HTTP, which receives generations as server-sent events.
 */
public final class HttpModelEngine implements ModelEngine {

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int NO_CONTENT = 204;
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int PRECONDITION_FAILED = 412;
    private static final int FIRST_SERVER_ERROR = 500;

    private final HttpClient client;
    private final HostPort address;
    private final long timeoutMillis;
    private final long inactivityTimeoutMillis;
    private final String targetDescription;

    /**
     * Creates a client.
     *
     * @param client the shared, started HTTP client; each open stream holds one of its connections.
     * @param address the engine's address.
     * @param timeoutMillis the timeout of a call; for a stream, of obtaining a connection.
     * @param inactivityTimeoutMillis how long a stream may receive nothing; longer than the engine's
     *     keep-alive interval.
     */
    public HttpModelEngine(HttpClient client, HostPort address, long timeoutMillis, long inactivityTimeoutMillis) {
        this.client = client;
        this.address = address;
        this.timeoutMillis = timeoutMillis;
        this.inactivityTimeoutMillis = inactivityTimeoutMillis;
        this.targetDescription = "model engine at " + address;
    }

    /** {@inheritDoc} */
    @Override
    public AutoCloseable stream(Generation generation, long fromOffset, Listener listener) {
        Request request =
                HttpCalls.json(request(HttpMethod.POST, "/generations"), new StreamRequest(generation, fromOffset));
        request.idleTimeout(inactivityTimeoutMillis, TimeUnit.MILLISECONDS);
        HttpCalls.SendTracker sending = HttpCalls.SendTracker.of(request);
        HttpStream stream = new HttpStream(request, sending, fromOffset, listener, targetDescription);
        request.send(stream);
        client.getScheduler().schedule(() -> sending.abortIfUnsent(request), timeoutMillis, TimeUnit.MILLISECONDS);
        return stream;
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Void> cancel(String generationId) {
        return call(request(HttpMethod.DELETE, "/generations/" + generationId), NO_CONTENT)
                .thenApply(reply -> null);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<OrderAnswer> order(Order order) {
        Request request = HttpCalls.json(request(HttpMethod.POST, "/orders"), order);
        return TargetCalls.send(request, timeoutMillis, targetDescription).thenApply(reply -> {
            if (reply.statusCode() == PRECONDITION_FAILED) {
                return OrderAnswer.STALE_FENCE;
            }
            requireStatus(reply, ACCEPTED);
            return OrderAnswer.TAKEN;
        });
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Residency> residency() {
        return call(request(HttpMethod.GET, "/residency"), OK).thenApply(reply -> read(reply, Residency.class));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<EngineLoad> loadReport() {
        return call(request(HttpMethod.GET, "/load"), OK).thenApply(reply -> read(reply, EngineLoad.class));
    }

    private Request request(HttpMethod method, String path) {
        return client.newRequest("http://" + address + path).method(method);
    }

    private CompletableFuture<HttpCalls.Reply> call(Request request, int status) {
        return TargetCalls.send(request, timeoutMillis, targetDescription)
                .thenApply(reply -> requireStatus(reply, status));
    }

    private HttpCalls.Reply requireStatus(HttpCalls.Reply reply, int status) {
        if (reply.statusCode() == status) {
            return reply;
        }
        throw unexpectedStatus(targetDescription, reply.statusCode());
    }

    private <T> T read(HttpCalls.Reply reply, Class<T> type) {
        try {
            return reply.read(type);
        } catch (IllegalArgumentException failure) {
            throw new TargetException(
                    TargetException.Kind.LOST, targetDescription + " sent a malformed answer", failure);
        }
    }

    /**
     * Classifies an unexpected status. Only a client error states that the engine will not run the call; after any
     * other status it may have run.
     */
    static TargetException unexpectedStatus(String targetDescription, int status) {
        boolean refused = status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR;
        TargetException.Kind kind = refused ? TargetException.Kind.REFUSED : TargetException.Kind.LOST;
        return new TargetException(kind, targetDescription + " answered with status " + status, null);
    }

    /**
     * Represents the body of a stream request.
     *
     * @param generation what to generate.
     * @param fromOffset the offset of the first token to send.
     */
    public record StreamRequest(Generation generation, long fromOffset) {}

    /**
     * Represents one event of a stream: a token, the end, or a failure.
     *
     * @param offset the token's offset in the answer.
     * @param text the token's text.
     * @param end whether the answer is complete.
     * @param total the number of tokens of the complete answer, sent with the end.
     * @param error why the generation ended early.
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    public record StreamEvent(
            Optional<Long> offset,
            Optional<String> text,
            Optional<Boolean> end,
            Optional<Long> total,
            Optional<String> error) {}
}
