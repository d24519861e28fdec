package io.waxwingquay.transport;

import io.waxwingquay.transport.generated.BundleAnswer;
import io.waxwingquay.transport.generated.BundleRequest;
import io.waxwingquay.transport.generated.GossipAnswer;
import io.waxwingquay.transport.generated.GossipRequest;
import io.waxwingquay.transport.generated.PermitAnswer;
import io.waxwingquay.transport.generated.PermitRequest;
import io.waxwingquay.transport.generated.PermitReturn;
import io.waxwingquay.transport.generated.SuspectNotice;
import java.util.concurrent.CompletableFuture;

/**
 * Hands what any process may ask to another handler, for handlers that add to it.
 */
public abstract class ForwardingPeer implements PeerProtocol {

    private final PeerProtocol delegate;

    /**
     * A handler that adds to another.
     *
     * @param peer answers what any process may ask.
     */
    protected ForwardingPeer(PeerProtocol peer) {
        this.delegate = peer;
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<GossipAnswer> gossip(GossipRequest request) {
        return delegate.gossip(request);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<BundleAnswer> fetchBundle(BundleRequest request) {
        return delegate.fetchBundle(request);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> noteSuspects(SuspectNotice notice) {
        return delegate.noteSuspects(notice);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<PermitAnswer> borrowPermit(PermitRequest request) {
        return delegate.borrowPermit(request);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> returnPermit(PermitReturn request) {
        return delegate.returnPermit(request);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> ping() {
        return delegate.ping();
    }
}
