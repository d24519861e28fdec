package io.waxwingquay.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TTransportException;

/**
 * A socket that knows whether any byte was handed to the network, and how many went each way.
 *
 * <p>Whether a failed call may have been delivered decides whether a caller may be told that a request did not run. A
 * call whose connection never took a byte was certainly not delivered; any other may have been.
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
