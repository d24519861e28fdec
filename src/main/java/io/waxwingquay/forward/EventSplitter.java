package io.waxwingquay.forward;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Splits an event stream at the ends of its events, so that a caller receives complete events only.
 *
 * <p>A replica may stop in the middle of an event and another one resume the stream. If bytes were passed on as they
 * arrive, the caller would see half an event of one run joined with the events of the next. So an event is held back
 * until its blank line has been read.
 */
final class EventSplitter {

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private final Sink sink;
    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    EventSplitter(Sink sink) {
        this.sink = sink;
    }

    /** Reads bytes; each event that they complete goes to the sink. */
    void feed(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            pending.write(next);
            if (next == LINE_FEED) {
                if (lineEmpty) {
                    emit();
                }
                lineEmpty = true;
            } else if (next != CARRIAGE_RETURN) {
                lineEmpty = false;
            }
        }
    }

    /** Returns whether the stream is between two events. */
    boolean isBetweenEvents() {
        return pending.size() == 0;
    }

    /** Returns how many bytes of an event are held whose end has not been read. */
    int pendingBytes() {
        return pending.size();
    }

    /** Returns the bytes of an event whose end has not been read. */
    byte[] incompleteEvent() {
        return pending.toByteArray();
    }

    private void emit() {
        byte[] event = pending.toByteArray();
        pending = new ByteArrayOutputStream();
        sink.onEvent(event, idOf(event));
    }

    private static OptionalLong idOf(byte[] event) {
        String text = new String(event, StandardCharsets.ISO_8859_1);
        for (String line : text.split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                return parseId(line.substring(ID_FIELD.length()).trim());
            }
        }
        return OptionalLong.empty();
    }

    private static OptionalLong parseId(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException failure) {
            // A stream can't be resumed from an id that isn't a number.
            return OptionalLong.empty();
        }
    }

    /** Receives complete events. */
    @FunctionalInterface
    interface Sink {

        /**
         * Receives an event.
         *
         * @param bytes the event with its blank line.
         * @param id its id, if it has one.
         */
        void onEvent(byte[] bytes, OptionalLong id);
    }
}
