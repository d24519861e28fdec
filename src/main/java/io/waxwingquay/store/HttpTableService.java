package io.waxwingquay.store;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;

/**
 * A {@link TableService} over HTTP. A call whose answer is lost fails with {@link PlatformException.Unavailable} and is
 * not retried here: the commit may have taken effect, and only the caller knows what to read back.
 */
public final class HttpTableService implements TableService {

    private final HttpPlatformCalls calls;

    /**
     * Creates a client.
     *
     * @param client the shared HTTP client, already started.
     * @param address the platform's address.
     * @param timeoutMillis the timeout of a call.
     */
    public HttpTableService(HttpClient client, HostPort address, long timeoutMillis) {
        this.calls = new HttpPlatformCalls(client, "table service", address, timeoutMillis);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Map<String, Row>> read(List<String> keys) {
        return calls.send(
                HttpCalls.json(calls.request(HttpMethod.POST, "/table/read"), new ReadRequest(keys)),
                reply -> reply.read(ReadReply.class).rows());
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<CommitResult> commit(List<Write> writes) {
        return calls.send(
                HttpCalls.json(calls.request(HttpMethod.POST, "/table/commit"), new CommitRequest(writes)),
                reply -> reply.read(CommitResult.class));
    }

    /**
     * The body of a read request.
     *
     * @param keys the keys to read.
     */
    public record ReadRequest(List<String> keys) {}

    /**
     * The answer to a read request.
     *
     * @param rows the rows that exist, by key.
     */
    public record ReadReply(Map<String, Row> rows) {}

    /**
     * The body of a commit request.
     *
     * @param writes the conditional writes.
     */
    public record CommitRequest(List<Write> writes) {}
}
