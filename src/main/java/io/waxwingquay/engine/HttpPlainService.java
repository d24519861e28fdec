package io.waxwingquay.engine;

import io.waxwingquay.common.HostPort;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Client of a plain service over HTTP. A call is sent at most once.
 */
public final class HttpPlainService implements PlainService {

    /** Name of the header that carries the caller's idempotency key. */
    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    /** Name of the header that carries the request id. */
    public static final String REQUEST_ID_HEADER = "X-Request-Id";

    private final HttpClient client;
    private final HostPort address;
    private final long timeoutMillis;

    /**
     * Creates a client.
     *
     * @param client the shared, started HTTP client.
     * @param address the service's address.
     * @param timeoutMillis the timeout of a call.
     */
    public HttpPlainService(HttpClient client, HostPort address, long timeoutMillis) {
        this.client = client;
        this.address = address;
        this.timeoutMillis = timeoutMillis;
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Answer> call(Call call) {
        String operation = URLEncoder.encode(call.operation(), StandardCharsets.UTF_8);
        Request request = client.newRequest("http://" + address + "/operations/" + operation)
                .method(HttpMethod.POST)
                .headers(headers -> {
                    headers.put(REQUEST_ID_HEADER, call.requestId());
                    call.idempotencyKey().ifPresent(key -> headers.put(IDEMPOTENCY_KEY_HEADER, key));
                })
                .body(new BytesRequestContent(call.contentType(), call.body()));
        return TargetCalls.send(request, timeoutMillis, "plain service at " + address)
                .thenApply(reply -> new Answer(reply.statusCode(), reply.contentType(), reply.body()));
    }
}
