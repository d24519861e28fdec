package io.waxwingquay.bundle;

import java.security.KeyPair;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** An operator with a pair of keys who signs small bundles. */
final class Operator {

    private final KeyPair pair = KeyCodec.generate();

    String id() {
        return KeyCodec.id(pair.getPublic());
    }

    String publicKey() {
        return KeyCodec.encode(pair.getPublic());
    }

    TrustedKeys root() {
        return TrustedKeys.ofRoots(List.of(publicKey()));
    }

    SignedBundle sign(String document) {
        return BundleSigner.of(pair.getPrivate(), pair.getPublic()).sign(document.getBytes());
    }

    SignedBundle bundle(long version) {
        return sign(document(version, "records"));
    }

    SignedBundle bundleTrusting(long version, List<String> revoked, Operator... trusted) {
        String keys = Arrays.stream(trusted)
                .map(each ->
                        "[[keys.trusted]]\nid = \"" + each.id() + "\"\npublic_key = \"" + each.publicKey() + "\"\n")
                .collect(Collectors.joining());
        String revokedIds = revoked.stream().map(id -> "\"" + id + "\"").collect(Collectors.joining(", "));
        return sign(document(version, "records") + "[keys]\nrevoked = [" + revokedIds + "]\n" + keys);
    }

    static String document(long version, String service) {
        return "version = " + version + "\n[[services]]\nname = \"" + service
                + "\"\nkind = \"plain\"\nreplicas = 3\nmax_concurrent = 8\n";
    }
}
