package io.waxwingquay.standin;

import io.waxwingquay.engine.ModelEngine.Generation;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A cache of prompt prefixes in blocks, limited, least recently used out first. Not safe for concurrent use.
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

    /** Counts the prompt's cached tokens, and caches the whole prompt. */
    int take(Generation generation) {
        String prompt = generation.prompt();
        long chain = 31L * generation.model().hashCode() + generation.adapter().hashCode();
        boolean unbroken = true;
        int cachedTokens = 0;
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            chain = 0x9E3779B97F4A7C15L
                    * (chain ^ prompt.substring(end - BLOCK_CHARACTERS, end).hashCode());
            unbroken = unbroken && blocks.containsKey(chain);
            cachedTokens += unbroken ? BLOCK_TOKENS : 0;
            blocks.put(chain, true);
        }
        trim();
        return cachedTokens;
    }

    void clear() {
        blocks.clear();
    }

    private void trim() {
        var oldestFirst = blocks.keySet().iterator();
        while (blocks.size() > maxBlocks) {
            oldestFirst.next();
            oldestFirst.remove();
        }
    }
}
