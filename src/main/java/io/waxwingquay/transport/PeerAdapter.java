package io.waxwingquay.transport;

import io.waxwingquay.transport.generated.BundleAnswer;
import io.waxwingquay.transport.generated.BundleRequest;
import io.waxwingquay.transport.generated.GossipAnswer;
import io.waxwingquay.transport.generated.GossipRequest;
import io.waxwingquay.transport.generated.PeerService;
import io.waxwingquay.transport.generated.PermitAnswer;
import io.waxwingquay.transport.generated.PermitRequest;
import io.waxwingquay.transport.generated.PermitReturn;
import io.waxwingquay.transport.generated.SuspectNotice;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.async.AsyncMethodCallback;

/**
 * Adapts the futures of a {@link PeerProtocol} handler to Thrift's callbacks.
 */
class PeerAdapter implements PeerService.AsyncIface {

    private static final System.Logger LOG = System.getLogger("waxwingquay.transport");

    private final PeerProtocol handler;

    PeerAdapter(PeerProtocol handler) {
        this.handler = handler;
    }

    /** {@inheritDoc} */
    @Override
    public void gossip(GossipRequest request, AsyncMethodCallback<GossipAnswer> callback) {
        answer(() -> handler.gossip(request), callback);
    }

    /** {@inheritDoc} */
    @Override
    public void fetchBundle(BundleRequest request, AsyncMethodCallback<BundleAnswer> callback) {
        answer(() -> handler.fetchBundle(request), callback);
    }

    /** {@inheritDoc} */
    @Override
    public void noteSuspects(SuspectNotice notice, AsyncMethodCallback<Boolean> callback) {
        answer(() -> handler.noteSuspects(notice), callback);
    }

    /** {@inheritDoc} */
    @Override
    public void borrowPermit(PermitRequest request, AsyncMethodCallback<PermitAnswer> callback) {
        answer(() -> handler.borrowPermit(request), callback);
    }

    /** {@inheritDoc} */
    @Override
    public void returnPermit(PermitReturn request, AsyncMethodCallback<Boolean> callback) {
        answer(() -> handler.returnPermit(request), callback);
    }

    /** {@inheritDoc} */
    @Override
    public void ping(AsyncMethodCallback<Boolean> callback) {
        answer(handler::ping, callback);
    }

    /**
     * Runs a handler and passes its answer to the callback. A failure is converted to Thrift's own exception, which
     * does not say whether the work ran: handlers state that in their typed answers.
     */
    static <T> void answer(Supplier<CompletableFuture<T>> call, AsyncMethodCallback<T> callback) {
        CompletableFuture<T> future;
        try {
            future = call.get();
        } catch (RuntimeException failure) {
            future = CompletableFuture.failedFuture(failure);
        }
        future.whenComplete((answer, failure) -> {
            if (failure == null) {
                callback.onComplete(answer);
            } else {
                callback.onError(toApplicationException(failure));
            }
        });
    }

    private static TApplicationException toApplicationException(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        LOG.log(System.Logger.Level.WARNING, "transport: a handler failed.", cause);
        return new TApplicationException(TApplicationException.INTERNAL_ERROR, String.valueOf(cause));
    }
}
