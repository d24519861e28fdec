package io.waxwingquay.process;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.bundle.BundleException;
import java.util.Random;
import org.junit.jupiter.api.Test;

class DocumentCodecTest {

    // The signature is over the exact bytes: one byte off and every process refuses the bundle from its peers.
    @Test
    void roundTripPreservesDocument() {
        byte[] document = new byte[100_000];
        new Random(4).nextBytes(document);
        assertArrayEquals(document, DocumentCodec.inflate(DocumentCodec.deflate(document)));
        assertArrayEquals(new byte[0], DocumentCodec.inflate(DocumentCodec.deflate(new byte[0])));
    }

    // A faulty peer answers with bytes that inflate without end, or not at all: a failed look, not an exhausted heap.
    @Test
    void rejectsOversizedAndCorruptInput() {
        byte[] tooLong = DocumentCodec.deflate(new byte[17 * 1024 * 1024]);
        assertTrue(tooLong.length < 100_000);
        assertThrows(BundleException.class, () -> DocumentCodec.inflate(tooLong));
        assertThrows(BundleException.class, () -> DocumentCodec.inflate("version = 1".getBytes()));
    }
}
