package io.waxwingquay.bundle;

import java.util.ArrayList;
import java.util.List;

/**
 * A run of bundles in order of version: those that changed the operator keys, and last the one to adopt.
 *
 * <p>Key rotation: a process that restarts knows only the root keys of its settings, while the bundle in force may
 * be signed by a key that a later bundle named. So each bundle that changes the keys stays in a row of its own,
 * {@code bundle/keys/<version>}, the row of the bundle in force lists these versions, and peers hand them on. The
 * process walks them from its root keys, each verified by the keys that the one before left. A bundle that the
 * walk can't verify gives no keys: settings whose roots are newer than it need it no longer.
 *
 * <p>The walk trusts the platform's table for completeness, not for content. Who can write to the table could hide
 * a revocation from a process whose root keys still list the revoked key; so revoked keys are removed from the
 * settings as well.
 */
final class BundleChain {

    private BundleChain() {}

    /**
     * Verifies a chain.
     *
     * @param rootKeys the keys trusted before it.
     * @param chain the bundles; the last is the one to adopt.
     * @return the last bundle with the keys that hold after it.
     * @throws BundleException if the last bundle is not trusted or not valid.
     */
    static Verified verify(TrustedKeys rootKeys, List<SignedBundle> chain) {
        SignedBundle last = chain.get(chain.size() - 1);
        VerifiedKeyChanges keyChanges = verifyKeyChanges(rootKeys, chain.subList(0, chain.size() - 1));
        Bundle bundle = SignatureCheck.verify(last, keyChanges.keys());
        return new Verified(
                last, bundle, keyChanges.bundles(), keyChanges.keys(), keyChanges.keys().updatedBy(bundle.keys()));
    }

    private static VerifiedKeyChanges verifyKeyChanges(TrustedKeys rootKeys, List<SignedBundle> keyChanges) {
        TrustedKeys keys = rootKeys;
        List<SignedBundle> verified = new ArrayList<>();
        for (SignedBundle each : keyChanges) {
            try {
                keys = keys.updatedBy(SignatureCheck.verify(each, keys).keys());
                verified.add(each);
            } catch (BundleException skipped) {
                // Roots newer than this bundle: the check of the bundle to adopt decides, see the class comment.
                continue;
            }
        }
        return new VerifiedKeyChanges(keys, verified);
    }

    private record VerifiedKeyChanges(TrustedKeys keys, List<SignedBundle> bundles) {}

    /** A bundle that passed, with the verified key bundles before it and the keys before and after it. */
    record Verified(
            SignedBundle signed, Bundle bundle, List<SignedBundle> keyChanges, TrustedKeys keysBefore, TrustedKeys keysAfter) {

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
