package io.waxwingquay.suspect;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Names a model request by its content, so that a resend through another entry has the same name.
 */
public final class Fingerprint {

    private Fingerprint() {}

    /**
     * The fingerprint of a model request.
     *
     * @param model the model's name.
     * @param adapter the adapter's name, or {@code null}.
     * @param prompt the prompt.
     * @return a 64-bit hash; equal requests have equal fingerprints in every process.
     */
    public static long of(String model, String adapter, String prompt) {
        byte[] modelBytes = bytesOf(model);
        byte[] adapterBytes = bytesOf(adapter == null ? "" : adapter);
        byte[] promptBytes = bytesOf(prompt);
        // Lengths go in, so that no two different triples are the same bytes.
        ByteBuffer all = ByteBuffer.allocate(
                        2 * Integer.BYTES + modelBytes.length + adapterBytes.length + promptBytes.length)
                .putInt(modelBytes.length)
                .putInt(adapterBytes.length)
                .put(modelBytes)
                .put(adapterBytes)
                .put(promptBytes);
        return MurmurHash3.hash128x64(all.array())[0];
    }

    private static byte[] bytesOf(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
