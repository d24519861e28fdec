package io.waxwingquay.process;

import io.waxwingquay.bundle.BundleHolder;
import io.waxwingquay.bundle.SignedBundle;
import io.waxwingquay.membership.GossipHandler;
import io.waxwingquay.permit.PermitLender;
import io.waxwingquay.suspect.SuspectRegistry;
import io.waxwingquay.transport.PeerProtocol;
import io.waxwingquay.transport.generated.BundleAnswer;
import io.waxwingquay.transport.generated.BundleRequest;
import io.waxwingquay.transport.generated.GossipAnswer;
import io.waxwingquay.transport.generated.GossipRequest;
import io.waxwingquay.transport.generated.PermitAnswer;
import io.waxwingquay.transport.generated.PermitRequest;
import io.waxwingquay.transport.generated.PermitReturn;
import io.waxwingquay.transport.generated.SuspectNotice;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Answers what any other process may ask.
 */
final class PeerHandler implements PeerProtocol {

    private final GossipHandler gossip;
    private final BundleHolder bundles;
    private final SuspectRegistry suspects;
    private final Optional<PermitLender> permits;

    PeerHandler(GossipHandler gossip, BundleHolder bundles, SuspectRegistry suspects, Optional<PermitLender> permits) {
        this.gossip = gossip;
        this.bundles = bundles;
        this.suspects = suspects;
        this.permits = permits;
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<GossipAnswer> gossip(GossipRequest request) {
        return CompletableFuture.completedFuture(gossip.answer(request));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<BundleAnswer> fetchBundle(BundleRequest request) {
        BundleAnswer answer = bundles.nextAbove(request.getAboveVersion())
                .map(PeerHandler::answer)
                .orElseGet(() -> new BundleAnswer(bundles.version()));
        return CompletableFuture.completedFuture(answer);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> noteSuspects(SuspectNotice notice) {
        suspects.merge(notice.getSuspects());
        return CompletableFuture.completedFuture(true);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<PermitAnswer> borrowPermit(PermitRequest request) {
        PermitAnswer answer =
                permits.map(home -> home.borrow(request)).orElseGet(() -> new PermitAnswer(false, Long.MAX_VALUE));
        return CompletableFuture.completedFuture(answer);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> returnPermit(PermitReturn request) {
        return CompletableFuture.completedFuture(
                permits.map(home -> home.returnPermit(request)).orElse(false));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> ping() {
        return CompletableFuture.completedFuture(true);
    }

    private static BundleAnswer answer(SignedBundle bundle) {
        return new BundleAnswer(bundle.version())
                .setDocument(ByteBuffer.wrap(Deflated.of(bundle.document())))
                .setSignature(bundle.signature())
                .setKeyId(bundle.keyId());
    }
}
