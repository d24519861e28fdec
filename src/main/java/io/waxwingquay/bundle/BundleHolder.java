package io.waxwingquay.bundle;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * The bundle in force in this process, with its signed bytes for peers. It moves only to a higher version with a
 * valid signature, whoever offers it.
 */
public final class BundleHolder implements BundleSource {

    private static final System.Logger LOG = System.getLogger("waxwingquay.bundle");

    private final List<Consumer<Bundle>> listeners = new CopyOnWriteArrayList<>();
    private volatile State state;

    /**
     * A holder without a bundle.
     *
     * @param roots the root keys of the settings.
     */
    public BundleHolder(TrustedKeys roots) {
        this.state = new State(Optional.empty(), Optional.empty(), roots, List.of());
    }

    /**
     * Offers a chain of bundles: any that changed the operator keys, and last the one to adopt. Listeners are
     * called before this returns, one version at a time; they must not wait for another adoption.
     *
     * @param chain the bundles, in order of version.
     * @return whether the last one was adopted; one that is not higher than the bundle in force is not.
     * @throws BundleException if the last bundle is not trusted or not valid.
     */
    public synchronized boolean adopt(List<SignedBundle> chain) {
        if (chain.isEmpty() || chain.get(chain.size() - 1).version() <= version()) {
            return false;
        }
        BundleChain.Verified verified = BundleChain.verify(state.keys, newerThan(chain, version()));
        state = new State(
                Optional.of(verified.bundle()),
                Optional.of(verified.signed()),
                verified.keysAfter(),
                verified.keyChangesAfter(state.keyChanges));
        LOG.log(
                System.Logger.Level.INFO,
                "bundle: version {0} is in force",
                Long.toString(verified.bundle().version()));
        listeners.forEach(listener -> listener.accept(verified.bundle()));
        return true;
    }

    /** {@inheritDoc} */
    @Override
    public Optional<Bundle> current() {
        return state.bundle;
    }

    /** {@inheritDoc} */
    @Override
    public void onAdopted(Consumer<Bundle> listener) {
        listeners.add(listener);
    }

    /**
     * The version in force.
     *
     * @return the version, or 0 if there is none yet.
     */
    public long version() {
        return state.bundle.map(Bundle::version).orElse(0L);
    }

    /**
     * What to hand to a peer that asks for a bundle above a version. Asked repeatedly from the version last given,
     * it yields each bundle that changed the operator keys and last the one in force, so that a restarted peer
     * can walk from its root keys.
     *
     * @param aboveVersion the version that the peer has.
     * @return the next bundle, or empty if the peer has all.
     */
    public Optional<SignedBundle> nextAbove(long aboveVersion) {
        State snapshot = state;
        return snapshot.keyChanges.stream()
                .filter(bundle -> bundle.version() > aboveVersion)
                .findFirst()
                .or(() -> snapshot.signed.filter(bundle -> bundle.version() > aboveVersion));
    }

    private static List<SignedBundle> newerThan(List<SignedBundle> chain, long version) {
        return chain.stream().filter(bundle -> bundle.version() > version).toList();
    }

    private record State(
            Optional<Bundle> bundle, Optional<SignedBundle> signed, TrustedKeys keys, List<SignedBundle> keyChanges) {}
}
