package io.waxwingquay.bundle;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Holds the bundle in force in this process and its signed bytes, which peers can fetch. Only a bundle with a higher
 * version and a valid signature replaces it, regardless of who offers it.
 */
public final class BundleHolder implements BundleSource {

    private static final System.Logger LOG = System.getLogger("waxwingquay.bundle");

    private final List<Consumer<Bundle>> listeners = new CopyOnWriteArrayList<>();
    private volatile State state;

    /**
     * Creates a holder without a bundle.
     *
     * @param roots the root keys of the settings.
     */
    public BundleHolder(TrustedKeys roots) {
        this.state = new State(Optional.empty(), Optional.empty(), roots, List.of());
    }

    /**
     * Adopts the last bundle of a chain; the bundles before it are those that changed the operator keys. Listeners are
     * called before this method returns, one version at a time; they must not wait for another adoption.
     *
     * @param chain the bundles, in order of version.
     * @return whether the last bundle was adopted; it is not if its version isn't above the version in force.
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
     * Returns the version in force.
     *
     * @return the version, or 0 if there is no bundle yet.
     */
    public long version() {
        return state.bundle.map(Bundle::version).orElse(0L);
    }

    /**
     * Returns the bundle for a peer that asks for one above a version. Repeated calls, each with the version returned
     * last, yield every bundle that changed the operator keys and finally the one in force, so that a restarted peer
     * can verify the chain from its root keys.
     *
     * @param aboveVersion the version that the peer has.
     * @return the next bundle, or empty if the peer has all of them.
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
