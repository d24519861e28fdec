package io.waxwingquay.bundle;

import java.security.GeneralSecurityException;
import java.security.PublicKey;
import java.security.Signature;
import java.util.Base64;

/**
 * Verifies the signature of a bundle with the keys that may sign it.
 */
public final class SignatureCheck {

    private SignatureCheck() {}

    /**
     * Verifies the signature of a bundle and parses its document.
     *
     * @param bundle the bundle.
     * @param keys the keys that may sign it.
     * @return the parsed bundle.
     * @throws BundleException.Untrusted if the key is not trusted or revoked, the signature doesn't match the bytes, or
     *     the document has another version.
     * @throws BundleException.Invalid if the document is not a valid bundle.
     */
    public static Bundle verify(SignedBundle bundle, TrustedKeys keys) {
        PublicKey key = keys.require(bundle.keyId());
        if (!isValid(key, bundle.document(), bundle.signature())) {
            throw new BundleException.Untrusted("bundle " + bundle.version() + " does not carry the signature of key "
                    + bundle.keyId() + "; it was altered or forged");
        }
        return bundle.read();
    }

    static boolean isValid(PublicKey key, byte[] bytes, String signatureBase64) {
        try {
            Signature signature = Signature.getInstance(KeyCodec.ALGORITHM);
            signature.initVerify(key);
            signature.update(bytes);
            return signature.verify(Base64.getDecoder().decode(signatureBase64));
        } catch (GeneralSecurityException | IllegalArgumentException malformedSignature) {
            return false;
        }
    }
}
