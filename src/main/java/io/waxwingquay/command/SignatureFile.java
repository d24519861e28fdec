package io.waxwingquay.command;

import io.waxwingquay.bundle.BundleDocument;
import io.waxwingquay.bundle.BundleException;
import io.waxwingquay.bundle.SignedBundle;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads and writes the signature file beside a bundle's file: one line with the key's identifier and the signature.
 */
final class SignatureFile {

    private SignatureFile() {}

    static void write(Path bundle, SignedBundle signed) throws IOException {
        Files.writeString(signatureFile(bundle), signed.keyId() + " " + signed.signature() + "\n");
    }

    static SignedBundle read(Path bundle) throws IOException {
        byte[] document = Files.readAllBytes(bundle);
        Path file = signatureFile(bundle);
        if (!Files.exists(file)) {
            throw new BundleException(file + " is missing; run 'bundle sign' first", null);
        }
        String[] fields = Files.readString(file).strip().split("\\s+");
        if (fields.length != 2) {
            throw new BundleException(file + " is not a signature file; run 'bundle sign' again", null);
        }
        long version = BundleDocument.parse(bundle.toString(), document).version();
        return new SignedBundle(version, document, fields[1], fields[0]);
    }

    private static Path signatureFile(Path bundle) {
        return bundle.resolveSibling(bundle.getFileName() + ".sig");
    }
}
