package io.waxwingquay.side;

import io.waxwingquay.transport.generated.Chunk;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A buffer of the bytes of an answer and the end offset of each unit. Not safe for concurrent use.
 */
final class UnitBuffer {

    private static final int INITIAL_UNITS = 16;
    private static final int INITIAL_BYTES = 128;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int[] endOffsets = new int[INITIAL_UNITS];
    private int unitCount;
    private boolean released;

    int units() {
        return unitCount;
    }

    void append(byte[] unit) {
        int start = endOffset();
        int end = start + unit.length;
        if (end > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(end, bytes.length * 2));
        }
        if (unitCount == endOffsets.length) {
            endOffsets = Arrays.copyOf(endOffsets, unitCount * 2);
        }
        System.arraycopy(unit, 0, bytes, start, unit.length);
        endOffsets[unitCount] = end;
        unitCount++;
    }

    boolean hasUnitsFrom(long offset) {
        return offset < unitCount && !released;
    }

    /** Returns all units from an offset on, as one chunk. */
    Chunk chunkFrom(long offset) {
        int first = (int) Math.max(0L, offset);
        int start = first == 0 ? 0 : endOffsets[first - 1];
        return new Chunk(first, ByteBuffer.wrap(Arrays.copyOfRange(bytes, start, endOffset())), unitCount - first);
    }

    /** Drops the bytes, but keeps the number of units. */
    void release() {
        released = true;
        bytes = new byte[0];
        endOffsets = new int[0];
    }

    private int endOffset() {
        return unitCount == 0 ? 0 : endOffsets[unitCount - 1];
    }
}
