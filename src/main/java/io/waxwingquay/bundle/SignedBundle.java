package io.waxwingquay.bundle;

import org.apache.commons.codec.digest.DigestUtils;

/**
 * The exact bytes of a bundle with their signature. Nothing in it is trusted until {@link SignatureCheck} has verified
 * it.
 *
 * @param version the claimed version of the bundle, which is compared with the document when that is parsed.
 * @param document the TOML document.
 * @param signature the Ed25519 signature over the document, in base64.
 * @param keyId the identifier of the key that signed it.
 */
public record SignedBundle(long version, byte[] document, String signature, String keyId) {

    /**
     * Computes the name of the document in the object store.
     *
     * @return the SHA-256 of the document, in lower-case hex.
     */
    public String hash() {
        return DigestUtils.sha256Hex(document);
    }

    /**
     * Parses the document.
     *
     * @return the bundle.
     * @throws BundleException if the document is invalid or doesn't have the claimed version.
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
