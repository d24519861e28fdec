package io.waxwingquay.standin;

import io.waxwingquay.engine.HttpModelEngine.StreamEvent;
import java.util.Optional;
import org.eclipse.jetty.util.Callback;

/**
 * Writes one sequence to one connection as server-sent events, as fast as the reader takes them.
 */
final class EventWriter {

    private static final int MAX_TOKENS_PER_WRITE = 64;
    private static final String KEEP_ALIVE = ": waiting\n\n";

    private final Sequence sequence;
    private final StandinServer.Answering answering;
    private final StandinTimer timer;
    private final long keepAliveMicros;
    private final StreamFault fault;
    private final Runnable wake = this::wake;
    private long nextOffset;
    private long sent;
    private long writes;
    private boolean writing;
    private boolean closed;

    EventWriter(
            Sequence sequence,
            long fromOffset,
            StandinServer.Answering answering,
            StandinTimer timer,
            long keepAliveMicros,
            StreamFault fault) {
        this.sequence = sequence;
        this.nextOffset = fromOffset;
        this.answering = answering;
        this.timer = timer;
        this.keepAliveMicros = keepAliveMicros;
        this.fault = fault;
    }

    /**
     * What goes wrong on one stream.
     *
     * @param kind the fault, if any.
     * @param afterTokens tokens sent before it shows.
     */
    record StreamFault(Optional<Faults.Kind> kind, long afterTokens) {

        private boolean is(Faults.Kind other) {
            return kind.filter(other::equals).isPresent();
        }
    }

    void open() {
        sequence.watch(wake);
        keepAlive(0);
    }

    private void keepAlive(long writesBefore) {
        boolean idle;
        long writesNow;
        synchronized (this) {
            if (closed) {
                return;
            }
            idle = writes == writesBefore && !writing;
            writesNow = idle ? claimWrite() : writes;
        }
        if (idle) {
            write(KEEP_ALIVE);
        }
        timer.schedule(keepAliveMicros, () -> keepAlive(writesNow));
    }

    /** One write at a time: a second one would be refused by the connection and its tokens lost. */
    private long claimWrite() {
        writing = true;
        return ++writes;
    }

    private void wake() {
        String text;
        boolean last;
        synchronized (this) {
            if (closed || writing) {
                return;
            }
            long available = sequence.produced();
            text = tokens(available);
            last = nextOffset >= available
                    && (sequence.whole() || sequence.error().isPresent());
            if (faultDue()) {
                close();
                showFault(text);
                return;
            }
            if (last) {
                text += ending();
                close();
            } else if (!text.isEmpty()) {
                claimWrite();
            }
        }
        if (last) {
            answering.write(text, Callback.from(answering::finish, failure -> answering.drop()));
        } else if (!text.isEmpty()) {
            write(text);
        }
    }

    private String tokens(long available) {
        StringBuilder events = new StringBuilder();
        int repeats = fault.is(Faults.Kind.DUPLICATE_STREAM) ? 2 : 1;
        long until = Math.min(available, nextOffset + MAX_TOKENS_PER_WRITE);
        for (; nextOffset < until && !faultDue(); nextOffset++) {
            events.append(token(nextOffset).repeat(repeats));
            sent++;
        }
        return events.toString();
    }

    private boolean faultDue() {
        boolean breaks = fault.is(Faults.Kind.SILENT_STREAM) || fault.is(Faults.Kind.TRUNCATE_STREAM);
        return breaks && sent >= fault.afterTokens();
    }

    private void showFault(String text) {
        if (fault.is(Faults.Kind.TRUNCATE_STREAM)) {
            answering.write(text, Callback.from(answering::finish, failure -> answering.drop()));
        } else {
            answering.write(text, Callback.NOOP);
        }
    }

    private String token(long offset) {
        return data(new StreamEvent(
                Optional.of(offset),
                Optional.of(sequence.text(offset)),
                Optional.empty(),
                Optional.empty(),
                Optional.empty()));
    }

    private String ending() {
        boolean whole = sequence.error().isEmpty();
        return data(new StreamEvent(
                Optional.empty(),
                Optional.empty(),
                whole ? Optional.of(true) : Optional.empty(),
                whole ? Optional.of(sequence.produced()) : Optional.empty(),
                sequence.error()));
    }

    private static String data(StreamEvent event) {
        return "data: " + StandinServer.json(event) + "\n\n";
    }

    private void write(String text) {
        answering.write(text, Callback.from(this::written, failure -> broken()));
    }

    private void written() {
        synchronized (this) {
            writing = false;
        }
        wake();
    }

    private void broken() {
        synchronized (this) {
            close();
        }
        answering.drop();
    }

    private void close() {
        closed = true;
        sequence.unwatch(wake);
    }
}
