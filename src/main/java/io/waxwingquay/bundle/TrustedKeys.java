package io.waxwingquay.bundle;

import java.security.PublicKey;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The operator keys that may sign the next bundle. Root keys come from settings; the keys of each bundle, once it
 * is verified, replace them. A revoked key never signs again, even if a later bundle lists it.
 */
public final class TrustedKeys {

    private final Map<String, PublicKey> keys;
    private final Set<String> revoked;

    private TrustedKeys(Map<String, PublicKey> keys, Set<String> revoked) {
        this.keys = keys;
        this.revoked = revoked;
    }

    /**
     * The root keys of the settings.
     *
     * @param publicKeys the keys, as base64 of the X.509 encoding.
     * @return the keys.
     * @throws BundleException if a text is no public key.
     */
    public static TrustedKeys ofRoots(List<String> publicKeys) {
        return new TrustedKeys(byId(publicKeys), Set.of());
    }

    /**
     * The keys that hold after a bundle.
     *
     * @param bundleKeys the keys of the verified bundle; without a trusted key in it the present ones stay.
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
     * Finds a key.
     *
     * @param keyId the key's identifier.
     * @return the key.
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
     * Whether no key is left to sign the next bundle.
     *
     * @return whether it is empty.
     */
    public boolean isEmpty() {
        return keys.isEmpty();
    }

    /**
     * Whether the same keys are trusted and revoked.
     *
     * @param other other keys.
     * @return whether nothing differs.
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
