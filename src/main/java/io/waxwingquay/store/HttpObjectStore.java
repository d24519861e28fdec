package io.waxwingquay.store;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;

/**
 * An {@link ObjectStore} over HTTP.
 */
public final class HttpObjectStore implements ObjectStore {

    private static final int NOT_FOUND = 404;

    private final HttpPlatformCalls calls;

    /**
     * Creates a client.
     *
     * @param client the shared HTTP client, already started.
     * @param address the platform's address.
     * @param timeoutMillis the timeout of a call.
     */
    public HttpObjectStore(HttpClient client, HostPort address, long timeoutMillis) {
        this.calls = new HttpPlatformCalls(client, "object store", address, timeoutMillis);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Void> put(String name, byte[] bytes) {
        return calls.send(
                calls.request(HttpMethod.PUT, "/objects/" + name)
                        .body(new BytesRequestContent("application/octet-stream", bytes)),
                reply -> null);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Optional<byte[]>> get(String name) {
        return calls.send(calls.request(HttpMethod.GET, "/objects/" + name), HttpObjectStore::found);
    }

    private static Optional<byte[]> found(HttpCalls.Reply reply) {
        return reply.statusCode() == NOT_FOUND ? Optional.empty() : Optional.of(reply.body());
    }
}
