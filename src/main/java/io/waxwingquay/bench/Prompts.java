package io.waxwingquay.bench;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Creates prompts that share a long prefix, so that the prefix caches of engines have an effect. */
final class Prompts {

    private static final int SHARED_PREFIX_WORDS = 20;

    private Prompts() {}

    static String withSharedPrefix(String prefix, long number) {
        String sharedPrefix = IntStream.range(0, SHARED_PREFIX_WORDS)
                .mapToObj(word -> prefix + "-" + word)
                .collect(Collectors.joining(" "));
        return sharedPrefix + " then request " + number;
    }
}
