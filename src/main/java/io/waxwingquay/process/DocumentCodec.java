package io.waxwingquay.process;

import io.waxwingquay.bundle.BundleException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Bundle documents as peers send them. At 620 models a document has some 370 KB, which 4,400 times a day would take
 * twice the 9 KB/s of a node; deflated it has a seventh of that.
 */
final class DocumentCodec {

    private static final int MAX_DOCUMENT_BYTES = 16 * 1024 * 1024;

    private DocumentCodec() {}

    static byte[] deflate(byte[] document) {
        ByteArrayOutputStream deflated = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(deflated)) {
            out.write(document);
        } catch (IOException failure) {
            throw new UncheckedIOException("a buffer in memory failed", failure);
        }
        return deflated.toByteArray();
    }

    /**
     * The exact document; whether it is trusted its signature tells later. The bound stops a faulty peer whose few
     * bytes would inflate until memory is out.
     */
    static byte[] inflate(byte[] deflated) {
        try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(deflated))) {
            byte[] document = in.readNBytes(MAX_DOCUMENT_BYTES + 1);
            if (document.length > MAX_DOCUMENT_BYTES) {
                throw new BundleException("a peer's bundle has over " + MAX_DOCUMENT_BYTES + " bytes", null);
            }
            return document;
        } catch (IOException failure) {
            throw new BundleException("a peer's bundle does not inflate", failure);
        }
    }
}
