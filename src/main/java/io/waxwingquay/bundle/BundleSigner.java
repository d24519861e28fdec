package io.waxwingquay.bundle;

import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.util.Base64;

/**
 * Signs bundles with an operator's private key.
 */
public final class BundleSigner {

    private final PrivateKey privateKey;
    private final String keyId;

    private BundleSigner(PrivateKey privateKey, String keyId) {
        this.privateKey = privateKey;
        this.keyId = keyId;
    }

    /**
     * Creates a signer for a pair of keys.
     *
     * @param privateKey the private key.
     * @param publicKey the matching public key.
     * @return the signer.
     * @throws BundleException if the keys do not form a pair.
     */
    public static BundleSigner of(PrivateKey privateKey, PublicKey publicKey) {
        BundleSigner signer = new BundleSigner(privateKey, KeyCodec.id(publicKey));
        byte[] probe = {1};
        if (!SignatureCheck.isValid(publicKey, probe, signer.signature(probe))) {
            throw new BundleException("the private key does not belong to public key " + signer.keyId, null);
        }
        return signer;
    }

    /**
     * Validates a bundle and signs the exact bytes of its document.
     *
     * @param document the TOML document.
     * @return the signed bundle.
     * @throws BundleException.Invalid if the document is not a valid bundle.
     */
    public SignedBundle sign(byte[] document) {
        Bundle bundle = BundleDocument.parse("bundle", document);
        return new SignedBundle(bundle.version(), document, signature(document), keyId);
    }

    private String signature(byte[] bytes) {
        try {
            Signature signature = Signature.getInstance(KeyCodec.ALGORITHM);
            signature.initSign(privateKey);
            signature.update(bytes);
            return Base64.getEncoder().encodeToString(signature.sign());
        } catch (GeneralSecurityException failure) {
            throw new BundleException("the bundle could not be signed", failure);
        }
    }
}
