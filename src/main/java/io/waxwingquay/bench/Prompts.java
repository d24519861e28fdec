package io.waxwingquay.bench;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Prompts that share a long beginning. */
final class Prompts {

    private static final int SHARED_WORDS = 20;

    private Prompts() {}

    static String sharing(String beginning, long number) {
        String shared = IntStream.range(0, SHARED_WORDS)
                .mapToObj(word -> beginning + "-" + word)
                .collect(Collectors.joining(" "));
        return shared + " then request " + number;
    }
}
