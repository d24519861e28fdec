package io.waxwingquay.standin;

import io.waxwingquay.engine.ModelEngine.Generation;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The text that a stand-in engine generates. It is a pure function of model, adapter, prompt and offset, so that a test
 * can verify that an answer is complete and belongs to its request.
 */
public final class StandinText {

    /** The number of prompt characters that count as one token. */
    public static final int CHARACTERS_PER_TOKEN = 4;

    private StandinText() {}

    /**
     * Returns the text of one token.
     *
     * @param model the model's item.
     * @param adapter the adapter's item, if any.
     * @param prompt the prompt.
     * @param offset the position of the token.
     * @return the token's text.
     */
    public static String token(String model, Optional<String> adapter, String prompt, long offset) {
        return tokenOf(seed(model, adapter, prompt), offset);
    }

    /**
     * Returns a complete answer.
     *
     * @param model the model's item.
     * @param adapter the adapter's item, if any.
     * @param prompt the prompt.
     * @param tokens the length of the answer in tokens.
     * @return the answer's text.
     */
    public static String answer(String model, Optional<String> adapter, String prompt, long tokens) {
        long seed = seed(model, adapter, prompt);
        return LongStream.range(0, tokens)
                .mapToObj(offset -> tokenOf(seed, offset))
                .collect(Collectors.joining());
    }

    static long seed(Generation generation) {
        return seed(generation.model(), generation.adapter(), generation.prompt());
    }

    static String tokenOf(long seed, long offset) {
        int hash = MurmurHash3.hash32(seed, offset);
        return "w" + Integer.toHexString(hash & 0xffff) + " ";
    }

    static int promptTokens(String prompt) {
        return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }

    private static long seed(String model, Optional<String> adapter, String prompt) {
        byte[] bytes = (model + '\0' + adapter.orElse("") + '\0' + prompt).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes)[0];
    }
}
