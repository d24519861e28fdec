package io.waxwingquay.bundle;

import org.apache.commons.codec.digest.DigestUtils;

/**
 * A bundle's exact bytes with their signature. Nothing in it is trusted before {@link SignatureCheck}.
 *
 * @param version the version that the document is said to have; checked against the document when it is read.
 * @param document the TOML document.
 * @param signature the Ed25519 signature over the document, in base64.
 * @param keyId the identifier of the key that signed.
 */
public record SignedBundle(long version, byte[] document, String signature, String keyId) {

    /**
     * The name of the document in the object store.
     *
     * @return the SHA-256 of the document, in lower-case hex.
     */
    public String hash() {
        return DigestUtils.sha256Hex(document);
    }

    /**
     * Reads the document.
     *
     * @return the bundle.
     * @throws BundleException if the document is invalid or has another version than was said.
     */
    public Bundle read() {
        Bundle bundle = BundleDocument.parse("bundle " + version, document);
        if (bundle.version() != version) {
            throw new BundleException.Untrusted(
                    "bundle offered as version " + version + " has version " + bundle.version());
        }
        return bundle;
    }
}
