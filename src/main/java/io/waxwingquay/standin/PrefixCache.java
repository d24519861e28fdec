package io.waxwingquay.standin;

import io.waxwingquay.engine.ModelEngine.Generation;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A bounded cache of prompt prefixes, split into blocks; the least recently used block is evicted first. Not safe for
 * concurrent use.
 */
final class PrefixCache {

    private static final int BLOCK_TOKENS = 16;
    private static final int BLOCK_CHARACTERS = BLOCK_TOKENS * StandinText.CHARACTERS_PER_TOKEN;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxBlocks;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, LOAD_FACTOR, true);

    PrefixCache(int maxTokens) {
        this.maxBlocks = maxTokens / BLOCK_TOKENS;
    }

    /** Returns the number of prompt tokens in the longest cached prefix, then adds all full blocks of the prompt. */
    int countCachedAndAdd(Generation generation) {
        String prompt = generation.prompt();
        long chainedHash =
                31L * generation.model().hashCode() + generation.adapter().hashCode();
        boolean prefixCached = true;
        int cachedTokens = 0;
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            chainedHash = 0x9E3779B97F4A7C15L
                    * (chainedHash
                            ^ prompt.substring(end - BLOCK_CHARACTERS, end).hashCode());
            prefixCached = prefixCached && blocks.containsKey(chainedHash);
            cachedTokens += prefixCached ? BLOCK_TOKENS : 0;
            blocks.put(chainedHash, true);
        }
        evictOldest();
        return cachedTokens;
    }

    void clear() {
        blocks.clear();
    }

    private void evictOldest() {
        var leastRecentlyUsedFirst = blocks.keySet().iterator();
        while (blocks.size() > maxBlocks) {
            leastRecentlyUsedFirst.next();
            leastRecentlyUsedFirst.remove();
        }
    }
}
