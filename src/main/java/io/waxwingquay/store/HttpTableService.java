package io.waxwingquay.store;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;

/**
 * The table service over HTTP. A lost answer fails with {@link PlatformException.Unavailable} and is not
 * repeated here: the commit may have taken effect, and only the caller knows what to read back.
 */
public final class HttpTableService implements TableService {

    private final HttpPlatformCalls calls;

    /**
     * A client.
     *
     * @param client the shared, started HTTP client.
     * @param address the platform's address.
     * @param timeoutMillis the most time a call may take.
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
     * Body of a read.
     *
     * @param keys the keys to read.
     */
    public record ReadRequest(List<String> keys) {}

    /**
     * Answer to a read.
     *
     * @param rows the rows that exist, by key.
     */
    public record ReadReply(Map<String, Row> rows) {}

    /**
     * Body of a commit.
     *
     * @param writes the conditional writes.
     */
    public record CommitRequest(List<Write> writes) {}
}
