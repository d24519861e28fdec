package io.waxwingquay.standin;

import io.waxwingquay.engine.HttpModelEngine.StreamEvent;
import java.util.Optional;
import org.eclipse.jetty.util.Callback;

/**
 * Streams a sequence to a connection as server-sent events, at the rate at which the reader accepts them.
 */
final class EventWriter {

    private static final int MAX_TOKENS_PER_WRITE = 64;
    private static final String KEEP_ALIVE = ": waiting\n\n";

    private final Sequence sequence;
    private final StandinServer.PendingResponse response;
    private final StandinTimer timer;
    private final long keepAliveMicros;
    private final StreamFault fault;
    private final Runnable progressListener = this::writeAvailable;
    private long nextOffset;
    private long sentTokens;
    private long writeCount;
    private boolean writing;
    private boolean closed;

    EventWriter(
            Sequence sequence,
            long fromOffset,
            StandinServer.PendingResponse response,
            StandinTimer timer,
            long keepAliveMicros,
            StreamFault fault) {
        this.sequence = sequence;
        this.nextOffset = fromOffset;
        this.response = response;
        this.timer = timer;
        this.keepAliveMicros = keepAliveMicros;
        this.fault = fault;
    }

    /**
     * The fault to simulate on a stream.
     *
     * @param kind the kind of fault, if any.
     * @param afterTokens number of tokens sent before the fault occurs.
     */
    record StreamFault(Optional<Faults.Kind> kind, long afterTokens) {

        private boolean is(Faults.Kind other) {
            return kind.filter(other::equals).isPresent();
        }
    }

    void open() {
        sequence.addListener(progressListener);
        sendKeepAliveIfIdle(0);
    }

    private void sendKeepAliveIfIdle(long previousWriteCount) {
        boolean idle;
        long currentWriteCount;
        synchronized (this) {
            if (closed) {
                return;
            }
            idle = writeCount == previousWriteCount && !writing;
            currentWriteCount = idle ? beginWrite() : writeCount;
        }
        if (idle) {
            write(KEEP_ALIVE);
        }
        timer.schedule(keepAliveMicros, () -> sendKeepAliveIfIdle(currentWriteCount));
    }

    /** Marks a write as pending. The connection would refuse a concurrent write, and its tokens would be lost. */
    private long beginWrite() {
        writing = true;
        return ++writeCount;
    }

    private void writeAvailable() {
        String text;
        boolean last;
        synchronized (this) {
            if (closed || writing) {
                return;
            }
            long available = sequence.producedTokens();
            text = nextTokenEvents(available);
            last = nextOffset >= available
                    && (sequence.isComplete() || sequence.error().isPresent());
            if (faultDue()) {
                close();
                applyFault(text);
                return;
            }
            if (last) {
                text += endEvent();
                close();
            } else if (!text.isEmpty()) {
                beginWrite();
            }
        }
        if (last) {
            response.write(text, Callback.from(response::finish, failure -> response.closeConnection()));
        } else if (!text.isEmpty()) {
            write(text);
        }
    }

    private String nextTokenEvents(long available) {
        StringBuilder events = new StringBuilder();
        int repeats = fault.is(Faults.Kind.DUPLICATE_STREAM) ? 2 : 1;
        long endOffset = Math.min(available, nextOffset + MAX_TOKENS_PER_WRITE);
        for (; nextOffset < endOffset && !faultDue(); nextOffset++) {
            events.append(tokenEvent(nextOffset).repeat(repeats));
            sentTokens++;
        }
        return events.toString();
    }

    private boolean faultDue() {
        boolean interrupts = fault.is(Faults.Kind.SILENT_STREAM) || fault.is(Faults.Kind.TRUNCATE_STREAM);
        return interrupts && sentTokens >= fault.afterTokens();
    }

    private void applyFault(String text) {
        if (fault.is(Faults.Kind.TRUNCATE_STREAM)) {
            response.write(text, Callback.from(response::finish, failure -> response.closeConnection()));
        } else {
            response.write(text, Callback.NOOP);
        }
    }

    private String tokenEvent(long offset) {
        return serialize(new StreamEvent(
                Optional.of(offset),
                Optional.of(sequence.tokenText(offset)),
                Optional.empty(),
                Optional.empty(),
                Optional.empty()));
    }

    private String endEvent() {
        boolean complete = sequence.error().isEmpty();
        return serialize(new StreamEvent(
                Optional.empty(),
                Optional.empty(),
                complete ? Optional.of(true) : Optional.empty(),
                complete ? Optional.of(sequence.producedTokens()) : Optional.empty(),
                sequence.error()));
    }

    private static String serialize(StreamEvent event) {
        return "data: " + StandinServer.json(event) + "\n\n";
    }

    private void write(String text) {
        response.write(text, Callback.from(this::onWritten, failure -> onWriteFailure()));
    }

    private void onWritten() {
        synchronized (this) {
            writing = false;
        }
        writeAvailable();
    }

    private void onWriteFailure() {
        synchronized (this) {
            close();
        }
        response.closeConnection();
    }

    private void close() {
        closed = true;
        sequence.removeListener(progressListener);
    }
}
