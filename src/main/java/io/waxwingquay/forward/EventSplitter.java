package io.waxwingquay.forward;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Splits an event stream at the ends of its events, so that a caller receives complete events only.
 *
 * <p>A replica may stop in the middle of an event and another one resume the stream. If bytes were passed on as they
 * arrive, the caller would see half an event of one run joined with the events of the next. So an event is held back
 * until its blank line has been read.
 *
 * <p>A line ends with LF, CR LF or a lone CR. Whether a CR is alone shows at the next byte only, for which no event waits
 * in a stream that has had a lone one.
 *
 * <p>What precedes the first event, such as a comment, goes out with it: a stream begins with its first event, and can
 * fail or begin anew elsewhere until then.
 */
final class EventSplitter {

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    private final Sink sink;
    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineEmpty = true;
    private boolean afterCarriageReturn;
    private boolean hasLoneCarriageReturns;
    private final ByteArrayOutputStream leading = new ByteArrayOutputStream(0);
    private boolean startsWithByteOrderMark;
    private boolean hasBegun;

    EventSplitter(Sink sink) {
        this.sink = sink;
    }

    /** Reads bytes; each event that they complete goes to the sink. */
    void feed(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            read(bytes.get());
        }
    }

    private void read(byte next) {
        if (afterCarriageReturn && next != LINE_FEED) {
            hasLoneCarriageReturns = true;
            endLine();
        }
        afterCarriageReturn = false;
        pending.write(next);
        if (next == LINE_FEED) {
            endLine();
        } else if (next != CARRIAGE_RETURN) {
            lineEmpty = false;
        } else if (lineEmpty && hasLoneCarriageReturns) {
            endLine();
        } else {
            afterCarriageReturn = true;
        }
    }

    private void endLine() {
        if (lineEmpty) {
            emit();
        }
        lineEmpty = true;
    }

    /** Returns whether the stream is between two parts. */
    boolean isBetweenEvents() {
        return pending.size() == 0;
    }

    /** Returns how many bytes are held. */
    int pendingBytes() {
        return leading.size() + pending.size();
    }

    /** Returns the bytes of a part whose end has not been read. */
    byte[] incompleteEvent() {
        return pending.toByteArray();
    }

    /** Returns what has been read before the first event, while there is none. */
    byte[] leadingParts() {
        return leading.toByteArray();
    }

    private void emit() {
        boolean isFirst = !hasBegun && leading.size() == 0;
        StreamPart part = StreamPart.of(pending.toByteArray(), isFirst);
        pending = new ByteArrayOutputStream();
        startsWithByteOrderMark |= part.hasByteOrderMark();
        if (hasBegun) {
            sink.onPart(part);
        } else if (part.isEvent()) {
            hasBegun = true;
            StreamPart first = part.precededBy(leading.toByteArray(), startsWithByteOrderMark);
            leading.reset();
            sink.onPart(first);
        } else {
            leading.writeBytes(part.bytes());
        }
    }

    /** Receives the parts of a stream. */
    @FunctionalInterface
    interface Sink {

        /** Receives a part that is complete. */
        void onPart(StreamPart part);
    }
}
