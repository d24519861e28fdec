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
 * A handler that delegates the calls of {@link PeerProtocol} to another handler, as a base for handlers that extend it.
 */
public abstract class ForwardingPeer implements PeerProtocol {

    private final PeerProtocol delegate;

    /**
     * Creates a handler that delegates to another.
     *
     * @param delegate the handler that answers the calls.
     */
    protected ForwardingPeer(PeerProtocol delegate) {
        this.delegate = delegate;
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
