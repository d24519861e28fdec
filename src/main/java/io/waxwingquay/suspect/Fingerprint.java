package io.waxwingquay.suspect;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Identifies a request by its content, so that a request resent through another entry has the same fingerprint.
 */
public final class Fingerprint {

    private Fingerprint() {}

    /**
     * Computes the fingerprint of a model request.
     *
     * @param model the model's name.
     * @param adapter the adapter's name, or {@code null}.
     * @param prompt the prompt.
     * @return a 64-bit hash; equal requests have equal fingerprints in every process.
     */
    public static long of(String model, String adapter, String prompt) {
        return of(List.of(bytesOf(model), bytesOf(adapter == null ? "" : adapter), bytesOf(prompt)));
    }

    /**
     * Computes the fingerprint of a request from the parts that identify it.
     *
     * @param parts the parts, always in the same order; at least one.
     * @return a 64-bit hash; equal parts have equal fingerprints in every process.
     */
    public static long of(List<byte[]> parts) {
        // Length prefixes ensure that different lists of parts never yield the same bytes.
        List<byte[]> lengthPrefixed = parts.subList(0, parts.size() - 1);
        int size = parts.stream().mapToInt(part -> part.length).sum();
        ByteBuffer buffer = ByteBuffer.allocate(lengthPrefixed.size() * Integer.BYTES + size);
        lengthPrefixed.forEach(part -> buffer.putInt(part.length));
        parts.forEach(buffer::put);
        return MurmurHash3.hash128x64(buffer.array())[0];
    }

    private static byte[] bytesOf(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
