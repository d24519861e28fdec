package io.waxwingquay.transport;

import io.waxwingquay.common.HostPort;

/**
 * Connections to other processes. A call on a connection that has gone silent fails after the call's own
 * wait plus a fixed grace, and later calls use a fresh connection.
 */
public interface Connections extends AutoCloseable {

    /**
     * A client for one process; cheap to ask for again.
     *
     * @param address where the process listens.
     * @return the client.
     */
    SideProtocol to(HostPort address);

    /** {@inheritDoc} */
    @Override
    void close();
}
