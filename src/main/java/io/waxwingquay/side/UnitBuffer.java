package io.waxwingquay.side;

import io.waxwingquay.transport.generated.Chunk;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * An answer's bytes and where each of its units ends. Not safe for concurrent use.
 */
final class UnitBuffer {

    private static final int FIRST_UNITS = 16;
    private static final int FIRST_BYTES = 128;

    private byte[] bytes = new byte[FIRST_BYTES];
    private int[] ends = new int[FIRST_UNITS];
    private int units;
    private boolean released;

    int units() {
        return units;
    }

    void append(byte[] unit) {
        int start = end();
        int end = start + unit.length;
        if (end > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(end, bytes.length * 2));
        }
        if (units == ends.length) {
            ends = Arrays.copyOf(ends, units * 2);
        }
        System.arraycopy(unit, 0, bytes, start, unit.length);
        ends[units] = end;
        units++;
    }

    boolean hasAfter(long offset) {
        return offset < units && !released;
    }

    /** All units from an offset on, as one chunk. */
    Chunk from(long offset) {
        int first = (int) Math.max(0L, offset);
        int start = first == 0 ? 0 : ends[first - 1];
        return new Chunk(first, ByteBuffer.wrap(Arrays.copyOfRange(bytes, start, end())), units - first);
    }

    /** Drops the bytes and keeps the count. */
    void release() {
        released = true;
        bytes = new byte[0];
        ends = new int[0];
    }

    private int end() {
        return units == 0 ? 0 : ends[units - 1];
    }
}
