package io.waxwingquay.forward;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * A part of an event stream that ends with a blank line.
 *
 * @param bytes the part with its blank line.
 * @param isEvent whether callers take it for an event. A comment that keeps the connection alive is none.
 * @param id the number that it states as its id; empty if it states none, or another text.
 * @param hasByteOrderMark whether it begins with the byte order mark that only the first part of a stream may have.
 */
record StreamPart(byte[] bytes, boolean isEvent, OptionalLong id, boolean hasByteOrderMark) {

    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};
    private static final Pattern LINE_END = Pattern.compile("\r\n|\n|\r");
    private static final String ID_FIELD = "id";
    private static final String DATA_FIELD = "data";

    /**
     * Reads a part.
     *
     * @param bytes the part with its blank line.
     * @param isFirst whether its stream begins with it.
     */
    static StreamPart of(byte[] bytes, boolean isFirst) {
        boolean hasByteOrderMark = isFirst
                && bytes.length >= BYTE_ORDER_MARK.length
                && Arrays.equals(bytes, 0, BYTE_ORDER_MARK.length, BYTE_ORDER_MARK, 0, BYTE_ORDER_MARK.length);
        int from = hasByteOrderMark ? BYTE_ORDER_MARK.length : 0;
        String text = new String(bytes, from, bytes.length - from, StandardCharsets.ISO_8859_1);
        OptionalLong id = OptionalLong.empty();
        boolean isEvent = false;
        for (String line : LINE_END.split(text)) {
            if (isField(line, ID_FIELD)) {
                id = parseId(line.substring(Math.min(line.length(), ID_FIELD.length() + 1))
                        .trim());
            }
            isEvent |= isField(line, ID_FIELD) || isField(line, DATA_FIELD);
        }
        return new StreamPart(bytes, isEvent, id, hasByteOrderMark);
    }

    /** Returns the part with bytes before it, which may begin with a byte order mark. */
    StreamPart precededBy(byte[] leading, boolean startWithByteOrderMark) {
        byte[] all = Arrays.copyOf(leading, leading.length + bytes.length);
        System.arraycopy(bytes, 0, all, leading.length, bytes.length);
        return new StreamPart(all, isEvent, id, startWithByteOrderMark);
    }

    /** Returns the bytes to send after another part; within a stream a byte order mark would change a field's name. */
    byte[] bytesAfterOthers() {
        return hasByteOrderMark ? Arrays.copyOfRange(bytes, BYTE_ORDER_MARK.length, bytes.length) : bytes;
    }

    private static boolean isField(String line, String name) {
        return line.equals(name) || line.startsWith(name + ":");
    }

    private static OptionalLong parseId(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException failure) {
            // A stream can't be resumed from an id that isn't a number.
            return OptionalLong.empty();
        }
    }
}
