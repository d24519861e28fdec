package io.waxwingquay.process;

import io.waxwingquay.bundle.BundleFeed;
import io.waxwingquay.bundle.SignedBundle;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.membership.Peers;
import io.waxwingquay.transport.Connections;
import io.waxwingquay.transport.generated.BundleAnswer;
import io.waxwingquay.transport.generated.BundleRequest;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * Fetches bundles from the peer that last announced a newer version, or else from a random peer.
 */
final class PeerBundleFetcher implements BundleFeed.PeerFetcher {

    private static final double OTHER_DATA_CENTRE_SHARE = 0.5;

    private final Peers peers;
    private final Connections connections;
    private final RandomGenerator random;
    private volatile Optional<HostPort> peerWithNewerBundle = Optional.empty();

    PeerBundleFetcher(Peers peers, Connections connections, RandomGenerator random) {
        this.peers = peers;
        this.connections = connections;
        this.random = random;
    }

    /**
     * Notes a peer that announced a newer version.
     *
     * @param from the address of the peer.
     */
    void notePeerWithNewerBundle(HostPort from) {
        peerWithNewerBundle = Optional.of(from);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Optional<SignedBundle>> fetchAbove(long aboveVersion) {
        Optional<HostPort> peer = peerWithNewerBundle.or(this::anyPeer);
        if (peer.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return connections
                .to(peer.get())
                .fetchBundle(new BundleRequest(aboveVersion))
                .thenApply(PeerBundleFetcher::toSignedBundle)
                .whenComplete((answer, failure) -> forgetPeerOnFailure(failure));
    }

    private Optional<HostPort> anyPeer() {
        return peers.pick(1, OTHER_DATA_CENTRE_SHARE, random).stream()
                .map(Peers.Peer::address)
                .findFirst();
    }

    private void forgetPeerOnFailure(Throwable failure) {
        if (failure != null) {
            peerWithNewerBundle = Optional.empty();
        }
    }

    private static Optional<SignedBundle> toSignedBundle(BundleAnswer answer) {
        if (!answer.isSetDocument()) {
            return Optional.empty();
        }
        return Optional.of(new SignedBundle(
                answer.getVersion(),
                DocumentCodec.inflate(answer.getDocument()),
                answer.getSignature(),
                answer.getKeyId()));
    }
}
