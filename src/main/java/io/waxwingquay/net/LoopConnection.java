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
 * A connection whose reads and writes all run on the loop's thread.
 */
abstract class LoopConnection extends AbstractConnection {

    private static final System.Logger LOG = System.getLogger("waxwingquay.net");

    private final EventLoop loop;
    private final Callback readCallback = new ReadCallback();
    private final Queue<ByteBuffer> pendingWrites = new ArrayDeque<>();
    private boolean writeInProgress;
    private long unsentBytes;
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
     * Jetty's endpoint turns a reset into an orderly end. Symptom: an answer without a length that its server broke off
     * is taken for a whole one. The channel itself tells the two apart.
     */
    private ReadableByteChannel channel() {
        return (ReadableByteChannel) getEndPoint().getTransport();
    }

    /**
     * Closes with a reset.
     *
     * <p>Failure: a peer's machine stands still, or the way to it is cut, when a request is given up. Symptom of an orderly
     * close: the request arrives before it, seconds later, and is run for nobody. What a reset finds undelivered is lost.
     */
    final void closeWithReset() {
        try {
            ((SocketChannel) getEndPoint().getTransport()).setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException failure) {
            LOG.log(System.Logger.Level.DEBUG, "net: a connection is closed and not reset: {0}", failure);
        }
        getEndPoint().close();
    }

    /** Asks to be called when there is something to read. */
    final void awaitInput() {
        if (!inputEnded && getEndPoint().isOpen() && !getEndPoint().isFillInterested()) {
            fillInterested(readCallback);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onFillable() {
        ByteBuffer buffer = loop.inputBuffer();
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
            onInput(buffer);
        }
    }

    /** Whether more may be read now; if not, {@link #awaitInput} is to be called when it may. */
    boolean acceptsInput() {
        return true;
    }

    /**
     * Takes in bytes, all of them before it returns.
     *
     * @param bytes what came; the buffer serves other connections afterwards.
     */
    abstract void onInput(ByteBuffer bytes);

    /**
     * Told once that nothing more will be read.
     *
     * @param cause a reset or another failure, or {@code null} for an orderly end.
     */
    abstract void onInputEnd(Throwable cause);

    /** Told when all that was written has left this process. */
    void onWritesComplete() {}

    /** {@inheritDoc} */
    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        endInput(cause == null ? new EOFException("closed here") : cause);
    }

    /**
     * Sends bytes, or keeps what the peer does not take yet.
     *
     * @param bytes what to send; taken in before this returns.
     * @return whether at least one byte of these left, or may leave later.
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
        enqueue(bytes);
        return true;
    }

    /** How much the peer has not taken yet. */
    final long unsentBytes() {
        return unsentBytes;
    }

    /** How long the peer has taken nothing of a write that is under way. */
    final long writeStalledMillis() {
        return ((IdleTimeout) getEndPoint()).getIdleFor();
    }

    /** Whether a write is still under way. */
    final boolean isWriteInProgress() {
        return writeInProgress;
    }

    private void enqueue(ByteBuffer bytes) {
        ByteBuffer copy = ByteBuffer.allocate(bytes.remaining());
        copy.put(bytes).flip();
        unsentBytes += copy.remaining();
        pendingWrites.add(copy);
        writeNext();
    }

    private void writeNext() {
        ByteBuffer next = writeInProgress ? null : pendingWrites.poll();
        if (next == null) {
            return;
        }
        writeInProgress = true;
        int size = next.remaining();
        getEndPoint()
                .write(
                        Callback.from(
                                Callback.InvocationType.NON_BLOCKING, () -> onWritten(size), this::onWriteFailure),
                        next);
    }

    private void onWritten(int size) {
        writeInProgress = false;
        unsentBytes -= size;
        if (pendingWrites.isEmpty()) {
            onWritesComplete();
        } else {
            writeNext();
        }
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

    /** What stands in logs for a failure. */
    static String describe(Throwable cause) {
        return Optional.ofNullable(cause).map(Throwable::toString).orElse("closed by the peer");
    }

    /** Jetty would hand a blocking callback to another thread; this one stays on the loop. */
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
