package io.waxwingquay.forward;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Cuts the bytes of an event stream at the ends of its events, so that a caller only ever gets whole ones.
 *
 * <p>Failure: a replica stops in the middle of an event and the stream goes on elsewhere. Symptom if its bytes were
 * passed on as they come: half an event of one run is joined with the next run's. Nothing of an event leaves here
 * before its blank line has come.
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

    /** Takes bytes in; each event that they complete goes to the sink. */
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

    /** Whether the stream stands between two events. */
    boolean isBetweenEvents() {
        return pending.size() == 0;
    }

    /** What has come of an event without an end. */
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
            // An id that is no number can't be used to go on from.
            return OptionalLong.empty();
        }
    }

    /** Takes whole events. */
    @FunctionalInterface
    interface Sink {

        /**
         * An event is whole.
         *
         * @param bytes all of it, its blank line included.
         * @param id its id, if it has one.
         */
        void onEvent(byte[] bytes, OptionalLong id);
    }
}
