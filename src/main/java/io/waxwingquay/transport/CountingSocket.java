package io.waxwingquay.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TTransportException;

/**
 * A socket that counts the bytes written to the kernel's send buffer and the bytes read.
 *
 * <p>A caller may be told that a request did not run only if the failed call was certainly not delivered. If no byte of
 * a call was written, the call was not delivered; otherwise it may have been.
 */
final class CountingSocket extends TNonblockingSocket {

    // Totals since the socket was opened.
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
        // -1 at the end of the stream.
        int count = super.read(buffer);
        readBytes += Math.max(count, 0);
        return count;
    }

    /** Returns the number of bytes written since the socket was opened. */
    long writtenBytes() {
        return writtenBytes;
    }

    /** Returns the number of bytes read since the socket was opened. */
    long readBytes() {
        return readBytes;
    }
}
