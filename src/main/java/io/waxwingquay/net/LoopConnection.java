package io.waxwingquay.net;

import java.io.EOFException;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.IdleTimeout;
import org.eclipse.jetty.util.Callback;

/**
 * A connection whose reads and writes all run on the loop thread.
 */
abstract class LoopConnection extends AbstractConnection {

    private static final System.Logger LOG = System.getLogger("waxwingquay.net");

    /** Heap that a queued buffer takes beside its bytes, which matters for the short events of a stream. */
    private static final int QUEUED_BUFFER_OVERHEAD_BYTES = 80;

    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    private final EventLoop loop;
    private final Callback readCallback = new ReadCallback();
    private final Queue<ByteBuffer> pendingWrites = new ArrayDeque<>();
    private ByteBuffer currentWrite = NOTHING;
    private boolean writeInProgress;
    private boolean startingWrites;
    private long unsentBytes;
    private long queuedBytes;
    private long writtenBytes;
    private boolean inputEnded;

    LoopConnection(EndPoint endPoint, EventLoop loop) {
        super(endPoint, loop);
        this.loop = loop;
    }

    final EventLoop loop() {
        return loop;
    }

    /** {@inheritDoc} */
    @Override
    public void onOpen() {
        super.onOpen();
        awaitInput();
    }

    /**
     * Returns the channel itself for reading, because Jetty's endpoint reports a reset as an orderly end of input. A
     * response without a content length that its server aborted would then count as complete.
     */
    private ReadableByteChannel channel() {
        return (ReadableByteChannel) getEndPoint().getTransport();
    }

    /**
     * Closes the connection with a reset.
     *
     * <p>If the peer is unresponsive or unreachable when a request is cancelled, the request would still be delivered
     * ahead of an orderly close, seconds later, and run although nobody waits for its response. A reset discards what
     * has not been delivered.
     */
    final void closeWithReset() {
        try {
            ((SocketChannel) getEndPoint().getTransport()).setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException failure) {
            LOG.log(System.Logger.Level.DEBUG, "net: a connection is closed without a reset: {0}", failure);
        }
        getEndPoint().close();
    }

    /** Registers for a call when input is available. */
    final void awaitInput() {
        if (!inputEnded && getEndPoint().isOpen() && !getEndPoint().isFillInterested()) {
            fillInterested(readCallback);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onFillable() {
        readInto(loop.inputBuffer());
    }

    /**
     * Reads pending input while the input of another connection is being processed, whose bytes are still in the buffer
     * that the connections share.
     */
    final void readDuringInput() {
        readInto(loop.secondInputBuffer());
    }

    private void readInto(ByteBuffer buffer) {
        while (!inputEnded && getEndPoint().isOpen() && acceptsInput()) {
            buffer.clear();
            int count;
            try {
                count = channel().read(buffer);
                buffer.flip();
            } catch (IOException failure) {
                endInput(failure);
                return;
            }
            if (count < 0) {
                endInput(null);
                return;
            }
            if (count == 0) {
                awaitInput();
                return;
            }
            boolean isDrained = count < buffer.capacity();
            onInput(buffer);
            if (isDrained) {
                // A read that leaves room in the buffer has emptied the channel: reading again would only cost a call.
                if (acceptsInput()) {
                    awaitInput();
                }
                return;
            }
        }
    }

    /** Returns whether more input may be read now; if not, {@link #awaitInput} must be called once it may. */
    boolean acceptsInput() {
        return true;
    }

    /**
     * Consumes all bytes before it returns.
     *
     * @param bytes the bytes read; the buffer is reused for other connections afterwards.
     */
    abstract void onInput(ByteBuffer bytes);

    /**
     * Called once when no more input will be read.
     *
     * @param cause a reset or another failure, or {@code null} for an orderly end of input.
     */
    abstract void onInputEnd(Throwable cause);

    /** Called when all pending writes have been handed to the kernel. */
    void onWritesComplete() {}

    /** Called when bytes were queued, as the peer does not accept them yet. */
    void onWriteQueued() {}

    /** Called when the peer has accepted some of the queued bytes. */
    void onWriteAccepted() {}

    /** {@inheritDoc} */
    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        endInput(cause == null ? new EOFException("closed here") : cause);
    }

    /**
     * Sends bytes, and queues those that the peer does not accept yet.
     *
     * @param bytes the bytes to send; consumed before this method returns.
     * @return whether at least one of these bytes was sent or may be sent later.
     */
    final boolean send(ByteBuffer bytes) {
        if (inputEnded && !getEndPoint().isOpen()) {
            return false;
        }
        int before = bytes.remaining();
        if (!writeInProgress) {
            try {
                if (getEndPoint().flush(bytes)) {
                    return true;
                }
            } catch (IOException failure) {
                getEndPoint().close(failure);
                return bytes.remaining() < before;
            }
        }
        enqueue(copyOf(bytes));
        return true;
    }

    /**
     * Sends bytes without a copy of those that the peer does not accept yet.
     *
     * @param bytes the bytes to send; not changed from now on.
     * @return whether at least one of these bytes was sent or may be sent later.
     */
    final boolean sendUncopied(ByteBuffer bytes) {
        if (!getEndPoint().isOpen()) {
            return false;
        }
        enqueue(bytes);
        return true;
    }

    /** Drops the output that the peer has not accepted, and closes the connection with a reset. */
    final void discardOutput() {
        pendingWrites.clear();
        queuedBytes = 0;
        closeWithReset();
    }

    /** Returns how many bytes the peer has accepted of those that were queued, in all. */
    final long acceptedBytes() {
        return writtenBytes + currentWrite.position();
    }

    /** Returns how many bytes of the heap the output that waits for the peer takes. */
    final long queuedBytes() {
        return queuedBytes;
    }

    /** Returns how many bytes the peer has not accepted yet. */
    final long unsentBytes() {
        return unsentBytes;
    }

    /** Returns how long the write in progress has made no progress. */
    final long writeStalledMillis() {
        return ((IdleTimeout) getEndPoint()).getIdleFor();
    }

    /** Returns whether a write is still in progress. */
    final boolean isWriteInProgress() {
        return writeInProgress;
    }

    private static ByteBuffer copyOf(ByteBuffer bytes) {
        ByteBuffer copy = ByteBuffer.allocate(bytes.remaining());
        copy.put(bytes).flip();
        return copy;
    }

    private void enqueue(ByteBuffer bytes) {
        unsentBytes += bytes.remaining();
        queuedBytes += heapBytes(bytes.remaining());
        pendingWrites.add(bytes);
        writeNext();
        if (writeInProgress) {
            onWriteQueued();
        }
    }

    private static long heapBytes(int size) {
        return size + QUEUED_BUFFER_OVERHEAD_BYTES;
    }

    /**
     * Starts writes until one waits for the peer. A write that the kernel accepts completely ends within the call that
     * starts it; starting the next one from there would nest one call for each event that a slow caller has waiting.
     */
    private void writeNext() {
        if (startingWrites) {
            return;
        }
        startingWrites = true;
        while (!writeInProgress && !pendingWrites.isEmpty()) {
            startWrite(pendingWrites.poll());
        }
        startingWrites = false;
        if (!writeInProgress && getEndPoint().isOpen()) {
            onWritesComplete();
        }
    }

    private void startWrite(ByteBuffer next) {
        writeInProgress = true;
        currentWrite = next;
        int size = next.remaining();
        getEndPoint()
                .write(
                        Callback.from(
                                Callback.InvocationType.NON_BLOCKING, () -> onWritten(size), this::onWriteFailure),
                        next);
    }

    private void onWritten(int size) {
        writeInProgress = false;
        currentWrite = NOTHING;
        unsentBytes -= size;
        queuedBytes -= heapBytes(size);
        writtenBytes += size;
        onWriteAccepted();
        writeNext();
    }

    private void onWriteFailure(Throwable cause) {
        writeInProgress = false;
        getEndPoint().close(cause);
    }

    private void endInput(Throwable cause) {
        if (!inputEnded) {
            inputEnded = true;
            onInputEnd(cause);
        }
    }

    /** Returns a description of a failure, or of an orderly end, for logs. */
    static String describe(Throwable cause) {
        return Optional.ofNullable(cause).map(Throwable::toString).orElse("closed by the peer");
    }

    /** Declares itself non-blocking, as Jetty would run a blocking callback on another thread than the loop's. */
    private final class ReadCallback implements Callback {

        /** {@inheritDoc} */
        @Override
        public void succeeded() {
            onFillable();
        }

        /** {@inheritDoc} */
        @Override
        public void failed(Throwable cause) {
            getEndPoint().close(cause);
        }

        /** {@inheritDoc} */
        @Override
        public InvocationType getInvocationType() {
            return InvocationType.NON_BLOCKING;
        }
    }
}
