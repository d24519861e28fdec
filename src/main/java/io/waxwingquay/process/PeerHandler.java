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
 * Answers the calls that any other process may make.
 */
final class PeerHandler implements PeerProtocol {

    private final GossipHandler gossip;
    private final BundleHolder bundles;
    private final SuspectRegistry suspects;
    private final Optional<PermitLender> permitLender;

    PeerHandler(
            GossipHandler gossip, BundleHolder bundles, SuspectRegistry suspects, Optional<PermitLender> permitLender) {
        this.gossip = gossip;
        this.bundles = bundles;
        this.suspects = suspects;
        this.permitLender = permitLender;
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
                .map(PeerHandler::toBundleAnswer)
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
        PermitAnswer answer = permitLender
                .map(lender -> lender.borrow(request))
                .orElseGet(() -> new PermitAnswer(false, Long.MAX_VALUE));
        return CompletableFuture.completedFuture(answer);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> returnPermit(PermitReturn request) {
        return CompletableFuture.completedFuture(
                permitLender.map(lender -> lender.returnPermit(request)).orElse(false));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> ping() {
        return CompletableFuture.completedFuture(true);
    }

    private static BundleAnswer toBundleAnswer(SignedBundle bundle) {
        return new BundleAnswer(bundle.version())
                .setDocument(ByteBuffer.wrap(DocumentCodec.deflate(bundle.document())))
                .setSignature(bundle.signature())
                .setKeyId(bundle.keyId());
    }
}
