package io.waxwingquay.bundle;

import java.security.GeneralSecurityException;
import java.security.Key;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Ed25519 keys as text: base64 of the X.509 encoding for public keys, of PKCS#8 for private ones.
 */
public final class KeyCodec {

    static final String ALGORITHM = "Ed25519";
    private static final int ID_HEX_DIGITS = 16;

    private KeyCodec() {}

    /**
     * Makes a new pair of keys.
     *
     * @return the pair.
     */
    public static KeyPair generate() {
        try {
            return KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair();
        } catch (GeneralSecurityException failure) {
            throw new BundleException("this Java can't make Ed25519 keys", failure);
        }
    }

    /**
     * Reads a public key.
     *
     * @param base64 base64 of its X.509 encoding.
     * @return the key.
     * @throws BundleException if the text is no such key.
     */
    public static PublicKey decodePublicKey(String base64) {
        try {
            return KeyFactory.getInstance(ALGORITHM)
                    .generatePublic(new X509EncodedKeySpec(Base64.getDecoder().decode(base64.strip())));
        } catch (GeneralSecurityException | IllegalArgumentException failure) {
            throw new BundleException(
                    "is no Ed25519 public key in base64; write what 'bundle keygen' printed", failure);
        }
    }

    /**
     * Reads a private key.
     *
     * @param base64 base64 of its PKCS#8 encoding.
     * @return the key.
     * @throws BundleException if the text is no such key.
     */
    public static PrivateKey decodePrivateKey(String base64) {
        try {
            return KeyFactory.getInstance(ALGORITHM)
                    .generatePrivate(new PKCS8EncodedKeySpec(Base64.getDecoder().decode(base64.strip())));
        } catch (GeneralSecurityException | IllegalArgumentException failure) {
            throw new BundleException("is no Ed25519 private key in base64; make one by 'bundle keygen'", null);
        }
    }

    /**
     * Writes a key as text.
     *
     * @param key a public or private key.
     * @return base64 of its encoding.
     */
    public static String encode(Key key) {
        return Base64.getEncoder().encodeToString(key.getEncoded());
    }

    /**
     * The identifier of a public key.
     *
     * @param key the key.
     * @return the first 16 hex digits of the SHA-256 of its X.509 encoding.
     */
    public static String id(PublicKey key) {
        return DigestUtils.sha256Hex(key.getEncoded()).substring(0, ID_HEX_DIGITS);
    }
}
