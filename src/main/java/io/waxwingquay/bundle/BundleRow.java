package io.waxwingquay.bundle;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.waxwingquay.common.Json;
import java.util.List;

/**
 * A row of the table service that names an accepted bundle, stored as JSON.
 *
 * @param version the bundle's version.
 * @param hash the SHA-256 of its document, which is its name in the object store.
 * @param signature the signature over the document, in base64.
 * @param keyId the identifier of the key that signed it.
 * @param keyVersions the versions of all bundles up to this one that changed the operator keys, in order.
 */
public record BundleRow(long version, String hash, String signature, String keyId, List<Long> keyVersions) {

    /** The key of the row that names the bundle in force. */
    public static final String CURRENT_KEY = "bundle/current";

    /**
     * Returns the key of the row for a bundle that changed the operator keys.
     *
     * @param version the bundle's version.
     * @return the row's key.
     */
    public static String keyChangeRowKey(long version) {
        return "bundle/keys/" + version;
    }

    static BundleRow of(SignedBundle bundle, List<Long> keyVersions) {
        return new BundleRow(
                bundle.version(), bundle.hash(), bundle.signature(), bundle.keyId(), List.copyOf(keyVersions));
    }

    static BundleRow parse(String json) {
        try {
            return Json.MAPPER.readValue(json, BundleRow.class);
        } catch (JsonProcessingException failure) {
            throw new BundleException("row " + CURRENT_KEY + " is malformed", failure);
        }
    }

    String toJson() {
        try {
            return Json.MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException failure) {
            throw new BundleException("row " + CURRENT_KEY + " can't be written", failure);
        }
    }
}
