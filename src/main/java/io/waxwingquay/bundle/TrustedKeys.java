package io.waxwingquay.bundle;

import java.security.PublicKey;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The operator keys that may sign the next bundle. The root keys come from the settings; the keys of each verified
 * bundle replace them. A revoked key stays revoked, even if a later bundle lists it as trusted.
 */
public final class TrustedKeys {

    private final Map<String, PublicKey> keys;
    private final Set<String> revoked;

    private TrustedKeys(Map<String, PublicKey> keys, Set<String> revoked) {
        this.keys = keys;
        this.revoked = revoked;
    }

    /**
     * Creates the trusted keys from the root keys of the settings.
     *
     * @param publicKeys the keys, as base64 of the X.509 encoding.
     * @return the trusted keys.
     * @throws BundleException if a text is not a public key.
     */
    public static TrustedKeys ofRoots(List<String> publicKeys) {
        return new TrustedKeys(byId(publicKeys), Set.of());
    }

    /**
     * Returns the keys that hold after a bundle.
     *
     * @param bundleKeys the keys of the verified bundle; if it names no trusted key, the current ones stay.
     * @return the keys that may sign the next bundle.
     */
    public TrustedKeys updatedBy(Bundle.Keys bundleKeys) {
        Set<String> allRevoked = new HashSet<>(revoked);
        allRevoked.addAll(bundleKeys.revoked());
        Map<String, PublicKey> next = bundleKeys.trusted().isEmpty()
                ? new LinkedHashMap<>(keys)
                : byId(bundleKeys.trusted().stream().map(Bundle.Key::publicKey).toList());
        next.keySet().removeAll(allRevoked);
        return new TrustedKeys(next, allRevoked);
    }

    /**
     * Returns a trusted key by its identifier.
     *
     * @param keyId the key's identifier.
     * @return the public key.
     * @throws BundleException.Untrusted if the key is revoked or not trusted.
     */
    public PublicKey require(String keyId) {
        if (revoked.contains(keyId)) {
            throw new BundleException.Untrusted("key " + keyId + " is revoked; sign with another trusted key");
        }
        PublicKey key = keys.get(keyId);
        if (key == null) {
            throw new BundleException.Untrusted(
                    "key " + keyId + " is not trusted; sign with one of " + String.join(", ", keys.keySet()));
        }
        return key;
    }

    /**
     * Returns whether no key is left that may sign the next bundle.
     *
     * @return whether there is no trusted key.
     */
    public boolean isEmpty() {
        return keys.isEmpty();
    }

    /**
     * Returns whether the same keys are trusted and revoked.
     *
     * @param other the keys to compare with.
     * @return whether both have the same trusted and revoked keys.
     */
    public boolean sameAs(TrustedKeys other) {
        return keys.keySet().equals(other.keys.keySet()) && revoked.equals(other.revoked);
    }

    private static Map<String, PublicKey> byId(List<String> publicKeys) {
        Map<String, PublicKey> result = new LinkedHashMap<>();
        for (String text : publicKeys) {
            PublicKey key = KeyCodec.decodePublicKey(text);
            result.put(KeyCodec.id(key), key);
        }
        return result;
    }
}
