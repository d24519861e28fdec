package io.waxwingquay.entry;

import io.waxwingquay.transport.generated.Chunk;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Puts the pieces of one answer in order. Pieces that were seen are dropped, and pieces that came early are
 * held until the gap before them is filled. Not safe for concurrent use.
 */
public final class StreamAssembler {

    private static final int MAXIMUM_HELD = 256;

    private final TreeMap<Long, Chunk> held = new TreeMap<>();
    private long nextOffset;

    /**
     * Takes pieces in any order.
     *
     * @param chunks the pieces.
     * @return the pieces that are now next in order.
     */
    public List<Chunk> accept(List<Chunk> chunks) {
        chunks.forEach(this::hold);
        List<Chunk> ready = new ArrayList<>();
        for (Chunk next = held.remove(nextOffset); next != null; next = held.remove(nextOffset)) {
            ready.add(next);
            nextOffset += next.getUnits();
        }
        held.headMap(nextOffset, false).clear();
        return ready;
    }

    /**
     * The offset wanted next.
     *
     * @return the offset after the last piece in order.
     */
    public long nextOffset() {
        return nextOffset;
    }

    private void hold(Chunk chunk) {
        if (chunk.getOffset() >= nextOffset && chunk.getUnits() > 0) {
            held.putIfAbsent(chunk.getOffset(), chunk);
        }
        if (held.size() > MAXIMUM_HELD) {
            held.pollLastEntry();
        }
    }
}
