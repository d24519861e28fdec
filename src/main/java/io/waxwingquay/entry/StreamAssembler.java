package io.waxwingquay.entry;

import io.waxwingquay.transport.generated.Chunk;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Reorders the chunks of one answer. Duplicate chunks are dropped, and chunks that arrive early are buffered until the
 * gap before them is filled. Not safe for concurrent use.
 */
public final class StreamAssembler {

    private static final int MAXIMUM_EARLY_CHUNKS = 256;

    private final TreeMap<Long, Chunk> earlyChunks = new TreeMap<>();
    private long nextOffset;

    /**
     * Accepts chunks in any order.
     *
     * @param chunks the chunks.
     * @return the chunks that are now next in order.
     */
    public List<Chunk> accept(List<Chunk> chunks) {
        chunks.forEach(this::buffer);
        List<Chunk> ready = new ArrayList<>();
        for (Chunk next = earlyChunks.remove(nextOffset); next != null; next = earlyChunks.remove(nextOffset)) {
            ready.add(next);
            nextOffset += next.getUnits();
        }
        earlyChunks.headMap(nextOffset, false).clear();
        return ready;
    }

    /**
     * Returns the next expected offset.
     *
     * @return the offset after the last chunk in order.
     */
    public long nextOffset() {
        return nextOffset;
    }

    private void buffer(Chunk chunk) {
        if (chunk.getOffset() >= nextOffset && chunk.getUnits() > 0) {
            earlyChunks.putIfAbsent(chunk.getOffset(), chunk);
        }
        if (earlyChunks.size() > MAXIMUM_EARLY_CHUNKS) {
            earlyChunks.pollLastEntry();
        }
    }
}
