package io.waxwingquay.transport;

import io.waxwingquay.common.HostPort;

/**
 * Connections to other processes. A call on an unresponsive connection fails after the call's own wait plus a fixed
 * grace period, and later calls use a new connection.
 */
public interface Connections extends AutoCloseable {

    /**
     * Returns a client for one process. Repeated calls are cheap.
     *
     * @param address the address on which the process listens.
     * @return the client.
     */
    SideProtocol to(HostPort address);

    /** {@inheritDoc} */
    @Override
    void close();
}
