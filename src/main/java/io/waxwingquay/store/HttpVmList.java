package io.waxwingquay.store;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;

/**
 * A {@link VmList} over HTTP.
 */
public final class HttpVmList implements VmList {

    private final HttpPlatformCalls calls;

    /**
     * Creates a client.
     *
     * @param client the shared HTTP client, already started.
     * @param address the platform's address.
     * @param timeoutMillis the timeout of a call.
     */
    public HttpVmList(HttpClient client, HostPort address, long timeoutMillis) {
        this.calls = new HttpPlatformCalls(client, "VM list", address, timeoutMillis);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<List<Vm>> list() {
        return calls.send(calls.request(HttpMethod.GET, "/vms"), reply -> reply.read(Listing.class)
                .vms());
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Void> announce(Vm vm) {
        return calls.send(HttpCalls.json(calls.request(HttpMethod.POST, "/vms"), vm), reply -> null);
    }

    /**
     * The answer to a list request.
     *
     * @param vms the VMs.
     */
    public record Listing(List<Vm> vms) {}
}
