package io.waxwingquay.store;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Sends calls to one platform service and converts HTTP failures to {@link PlatformException}.
 */
final class HttpPlatformCalls {

    private static final int FIRST_SERVER_ERROR = 500;
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int NOT_FOUND = 404;

    private final HttpClient client;
    private final String service;
    private final HostPort address;
    private final long timeoutMillis;

    HttpPlatformCalls(HttpClient client, String service, HostPort address, long timeoutMillis) {
        this.client = client;
        this.service = service;
        this.address = address;
        this.timeoutMillis = timeoutMillis;
    }

    Request request(HttpMethod method, String path) {
        return client.newRequest("http://" + address + path).method(method);
    }

    <T> CompletableFuture<T> send(Request request, Function<HttpCalls.Reply, T> reader) {
        return HttpCalls.send(request, timeoutMillis).handle((reply, failure) -> {
            if (failure != null) {
                throw new PlatformException.Unavailable(service + " at " + address + " cannot be reached", failure);
            }
            check(request, reply);
            return read(reply, reader);
        });
    }

    /**
     * Throws an exception for an error status. A server error does not say whether the call took effect, so the service
     * counts as unavailable.
     */
    private void check(Request request, HttpCalls.Reply reply) {
        if (reply.statusCode() >= FIRST_SERVER_ERROR) {
            throw new PlatformException.Unavailable(
                    service + " at " + address + " failed with status " + reply.statusCode(), null);
        }
        if (reply.statusCode() >= FIRST_CLIENT_ERROR && reply.statusCode() != NOT_FOUND) {
            throw new PlatformException.Refused(service + " at " + address + " refused " + request.getPath()
                    + " with status " + reply.statusCode());
        }
    }

    private <T> T read(HttpCalls.Reply reply, Function<HttpCalls.Reply, T> reader) {
        try {
            return reader.apply(reply);
        } catch (IllegalArgumentException failure) {
            throw new CompletionException(new PlatformException.Unavailable(
                    service + " at " + address + " sent a malformed answer", failure));
        }
    }
}
