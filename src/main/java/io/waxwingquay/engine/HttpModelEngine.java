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
 * A model engine over HTTP, with streams as server-sent events.
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
    private final long inactivityMillis;
    private final String target;

    /**
     * A client.
     *
     * @param client the shared, started HTTP client; each open stream holds one of its connections.
     * @param address the engine's address.
     * @param timeoutMillis the most time a call may take; a stream, until it has a connection.
     * @param inactivityMillis how long a stream may be silent; above the engine's keep-alive interval.
     */
    public HttpModelEngine(HttpClient client, HostPort address, long timeoutMillis, long inactivityMillis) {
        this.client = client;
        this.address = address;
        this.timeoutMillis = timeoutMillis;
        this.inactivityMillis = inactivityMillis;
        this.target = "model engine at " + address;
    }

    /** {@inheritDoc} */
    @Override
    public AutoCloseable stream(Generation generation, long fromOffset, Listener listener) {
        Request request =
                HttpCalls.json(request(HttpMethod.POST, "/generations"), new StreamRequest(generation, fromOffset));
        request.idleTimeout(inactivityMillis, TimeUnit.MILLISECONDS);
        HttpCalls.SendTracker sending = HttpCalls.SendTracker.of(request);
        HttpStream stream = new HttpStream(request, sending, fromOffset, listener, target);
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
        return TargetCalls.send(request, timeoutMillis, target).thenApply(reply -> {
            if (reply.statusCode() == PRECONDITION_FAILED) {
                return OrderAnswer.STALE_FENCE;
            }
            expect(reply, ACCEPTED);
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
    public CompletableFuture<EngineLoad> load() {
        return call(request(HttpMethod.GET, "/load"), OK).thenApply(reply -> read(reply, EngineLoad.class));
    }

    private Request request(HttpMethod method, String path) {
        return client.newRequest("http://" + address + path).method(method);
    }

    private CompletableFuture<HttpCalls.Reply> call(Request request, int status) {
        return TargetCalls.send(request, timeoutMillis, target).thenApply(reply -> expect(reply, status));
    }

    private HttpCalls.Reply expect(HttpCalls.Reply reply, int status) {
        if (reply.statusCode() == status) {
            return reply;
        }
        throw unexpected(target, reply.statusCode());
    }

    private <T> T read(HttpCalls.Reply reply, Class<T> type) {
        try {
            return reply.read(type);
        } catch (IllegalArgumentException failure) {
            throw new TargetException(TargetException.Kind.LOST, target + " sent a malformed answer", failure);
        }
    }

    /**
     * Only a client error is the engine's own word that it will not run the call.
     */
    static TargetException unexpected(String target, int status) {
        boolean refused = status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR;
        TargetException.Kind kind = refused ? TargetException.Kind.REFUSED : TargetException.Kind.LOST;
        return new TargetException(kind, target + " answered with status " + status, null);
    }

    /**
     * Body of a stream request.
     *
     * @param generation what to generate.
     * @param fromOffset the first token wanted.
     */
    public record StreamRequest(Generation generation, long fromOffset) {}

    /**
     * One event of a stream: a token, the end, or a failure.
     *
     * @param offset position of the token.
     * @param text the token's text.
     * @param end whether the answer is whole.
     * @param total length of the whole answer, at its end.
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
