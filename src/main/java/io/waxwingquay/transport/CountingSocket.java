package io.waxwingquay.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TTransportException;

/**
 * A socket that counts the bytes written to and read from the network.
 *
 * <p>A caller may be told that a request did not run only if the failed call was certainly not delivered. That is
 * certain if the connection accepted no byte of the call; otherwise the call may have been delivered.
 */
final class CountingSocket extends TNonblockingSocket {

    private volatile long writtenBytes;
    private volatile long readBytes;

    CountingSocket(String host, int port) throws IOException, TTransportException {
        super(host, port);
    }

    /** {@inheritDoc} */
    @Override
    public int write(ByteBuffer buffer) throws TTransportException {
        int count = super.write(buffer);
        writtenBytes += Math.max(count, 0);
        return count;
    }

    /** {@inheritDoc} */
    @Override
    public int read(ByteBuffer buffer) throws TTransportException {
        int count = super.read(buffer);
        readBytes += Math.max(count, 0);
        return count;
    }

    long writtenBytes() {
        return writtenBytes;
    }

    long readBytes() {
        return readBytes;
    }
}
