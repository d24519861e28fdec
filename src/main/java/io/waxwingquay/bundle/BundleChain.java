package io.waxwingquay.bundle;

import java.util.ArrayList;
import java.util.List;

/**
 * Verifies a chain of bundles in order of version: those that changed the operator keys, followed by the bundle to
 * adopt.
 *
 * <p>A restarted process knows only the root keys of its settings, while the bundle in force may be signed by a key
 * that a later bundle introduced. For this key rotation, each bundle that changes the keys stays in a row of its own,
 * {@code bundle/keys/<version>}, the row of the bundle in force lists these versions, and peers pass them on. The
 * process follows them from its root keys and verifies each by the keys that hold after the one before. A bundle that
 * can't be verified contributes no keys: settings with newer root keys don't need it.
 *
 * <p>The table is trusted for the completeness of the chain, not for its content. Anyone who can write to the table
 * could hide a revocation from a process whose root keys still list the revoked key, so revoked keys must be removed
 * from the settings as well.
 */
final class BundleChain {

    private BundleChain() {}

    /**
     * Verifies a chain.
     *
     * @param rootKeys the keys that are trusted before the chain.
     * @param chain the bundles; the last is the one to adopt.
     * @return the last bundle with the keys that hold before and after it.
     * @throws BundleException if the last bundle is not trusted or not valid.
     */
    static Verified verify(TrustedKeys rootKeys, List<SignedBundle> chain) {
        SignedBundle last = chain.get(chain.size() - 1);
        VerifiedKeyChanges keyChanges = verifyKeyChanges(rootKeys, chain.subList(0, chain.size() - 1));
        Bundle bundle = SignatureCheck.verify(last, keyChanges.keys());
        return new Verified(
                last,
                bundle,
                keyChanges.bundles(),
                keyChanges.keys(),
                keyChanges.keys().updatedBy(bundle.keys()));
    }

    private static VerifiedKeyChanges verifyKeyChanges(TrustedKeys rootKeys, List<SignedBundle> keyChanges) {
        TrustedKeys keys = rootKeys;
        List<SignedBundle> verified = new ArrayList<>();
        for (SignedBundle each : keyChanges) {
            try {
                keys = keys.updatedBy(SignatureCheck.verify(each, keys).keys());
                verified.add(each);
            } catch (BundleException skipped) {
                // The root keys may be newer than this bundle; the bundle to adopt must verify in any case.
                continue;
            }
        }
        return new VerifiedKeyChanges(keys, verified);
    }

    private record VerifiedKeyChanges(TrustedKeys keys, List<SignedBundle> bundles) {}

    /** A verified bundle with the verified key changes before it and the keys that hold before and after it. */
    record Verified(
            SignedBundle signed,
            Bundle bundle,
            List<SignedBundle> keyChanges,
            TrustedKeys keysBefore,
            TrustedKeys keysAfter) {

        boolean changesKeys() {
            return !keysBefore.sameAs(keysAfter);
        }

        List<SignedBundle> keyChangesAfter(List<SignedBundle> earlier) {
            List<SignedBundle> result = new ArrayList<>(earlier);
            result.addAll(keyChanges);
            if (changesKeys()) {
                result.add(signed);
            }
            return List.copyOf(result);
        }
    }
}
