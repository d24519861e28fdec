package io.waxwingquay.process;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.bundle.BundleException;
import java.util.Random;
import org.junit.jupiter.api.Test;

class DocumentCodecTest {

    // Guards against a document that changes in transit: the signature covers the exact bytes, so every process would
    // refuse the bundle from its peers.
    @Test
    void roundTripPreservesDocument() {
        byte[] document = new byte[100_000];
        new Random(4).nextBytes(document);
        assertArrayEquals(document, DocumentCodec.inflate(DocumentCodec.deflate(document)));
        assertArrayEquals(new byte[0], DocumentCodec.inflate(DocumentCodec.deflate(new byte[0])));
    }

    // Guards against an exhausted heap when a faulty peer answers with bytes that inflate without end, or not at all:
    // only this poll may fail.
    @Test
    void rejectsOversizedAndCorruptInput() {
        byte[] tooLong = DocumentCodec.deflate(new byte[17 * 1024 * 1024]);
        assertTrue(tooLong.length < 100_000);
        assertThrows(BundleException.class, () -> DocumentCodec.inflate(tooLong));
        assertThrows(BundleException.class, () -> DocumentCodec.inflate("version = 1".getBytes()));
    }
}
