package io.waxwingquay.command;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import io.waxwingquay.store.HttpObjectStore;
import io.waxwingquay.store.HttpTableService;
import io.waxwingquay.store.ObjectStore;
import io.waxwingquay.store.TableService;
import java.net.URI;
import org.eclipse.jetty.client.HttpClient;

/**
 * HTTP clients of the platform for the duration of one command.
 */
final class HttpPlatform implements PlatformFactory.Platform {

    private static final int MAX_CONNECTIONS = 4;
    private static final long TIMEOUT_MILLIS = 5_000L;

    private final HttpClient client = HttpCalls.startClient(MAX_CONNECTIONS, TIMEOUT_MILLIS);
    private final HostPort address;

    private HttpPlatform(HostPort address) {
        this.address = address;
    }

    /**
     * Opens the clients.
     *
     * @param url the URL of the platform.
     * @return the clients.
     */
    static PlatformFactory.Platform open(URI url) {
        return new HttpPlatform(new HostPort(url.getHost(), url.getPort()));
    }

    /** {@inheritDoc} */
    @Override
    public TableService table() {
        return new HttpTableService(client, address, TIMEOUT_MILLIS);
    }

    /** {@inheritDoc} */
    @Override
    public ObjectStore objects() {
        return new HttpObjectStore(client, address, TIMEOUT_MILLIS);
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("the HTTP client of the platform failed to stop", failure);
        }
    }
}
