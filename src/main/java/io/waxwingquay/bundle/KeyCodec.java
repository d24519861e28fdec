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
 * Encodes Ed25519 keys as text and decodes them: base64 of the X.509 encoding for public keys, of the PKCS#8 encoding
 * for private keys.
 */
public final class KeyCodec {

    static final String ALGORITHM = "Ed25519";
    private static final int ID_HEX_DIGITS = 16;

    private KeyCodec() {}

    /**
     * Generates a new pair of keys.
     *
     * @return the pair.
     */
    public static KeyPair generate() {
        try {
            return KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair();
        } catch (GeneralSecurityException failure) {
            throw new BundleException("this Java runtime can't generate Ed25519 keys", failure);
        }
    }

    /**
     * Decodes a public key.
     *
     * @param base64 the base64 of its X.509 encoding.
     * @return the key.
     * @throws BundleException if the text is not such a key.
     */
    public static PublicKey decodePublicKey(String base64) {
        try {
            return KeyFactory.getInstance(ALGORITHM)
                    .generatePublic(new X509EncodedKeySpec(Base64.getDecoder().decode(base64.strip())));
        } catch (GeneralSecurityException | IllegalArgumentException failure) {
            throw new BundleException(
                    "is not an Ed25519 public key in base64; write the key that 'bundle keygen' printed", failure);
        }
    }

    /**
     * Decodes a private key.
     *
     * @param base64 the base64 of its PKCS#8 encoding.
     * @return the key.
     * @throws BundleException if the text is not such a key.
     */
    public static PrivateKey decodePrivateKey(String base64) {
        try {
            return KeyFactory.getInstance(ALGORITHM)
                    .generatePrivate(new PKCS8EncodedKeySpec(Base64.getDecoder().decode(base64.strip())));
        } catch (GeneralSecurityException | IllegalArgumentException failure) {
            throw new BundleException(
                    "is not an Ed25519 private key in base64; generate one with 'bundle keygen'", null);
        }
    }

    /**
     * Encodes a key as text.
     *
     * @param key a public or private key.
     * @return the base64 of its encoding.
     */
    public static String encode(Key key) {
        return Base64.getEncoder().encodeToString(key.getEncoded());
    }

    /**
     * Computes the identifier of a public key.
     *
     * @param key the key.
     * @return the first 16 hex digits of the SHA-256 of its X.509 encoding.
     */
    public static String id(PublicKey key) {
        return DigestUtils.sha256Hex(key.getEncoded()).substring(0, ID_HEX_DIGITS);
    }
}
