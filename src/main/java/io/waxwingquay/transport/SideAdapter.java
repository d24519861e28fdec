package io.waxwingquay.transport;

import io.waxwingquay.transport.generated.PollAnswer;
import io.waxwingquay.transport.generated.PollRequest;
import io.waxwingquay.transport.generated.ResolveAnswer;
import io.waxwingquay.transport.generated.ResolveRequest;
import io.waxwingquay.transport.generated.SideService;
import io.waxwingquay.transport.generated.Submission;
import io.waxwingquay.transport.generated.SubmitAnswer;
import org.apache.thrift.async.AsyncMethodCallback;

/**
 * Adapts the futures of a {@link SideProtocol} handler to Thrift's callbacks.
 */
final class SideAdapter extends PeerAdapter implements SideService.AsyncIface {

    private final SideProtocol handler;

    SideAdapter(SideProtocol handler) {
        super(handler);
        this.handler = handler;
    }

    /** {@inheritDoc} */
    @Override
    public void submit(Submission submission, AsyncMethodCallback<SubmitAnswer> callback) {
        answer(() -> handler.submit(submission), callback);
    }

    /** {@inheritDoc} */
    @Override
    public void poll(PollRequest request, AsyncMethodCallback<PollAnswer> callback) {
        answer(() -> handler.poll(request), callback);
    }

    /** {@inheritDoc} */
    @Override
    public void cancel(String attemptId, AsyncMethodCallback<Boolean> callback) {
        answer(() -> handler.cancel(attemptId), callback);
    }

    /** {@inheritDoc} */
    @Override
    public void resolve(ResolveRequest request, AsyncMethodCallback<ResolveAnswer> callback) {
        answer(() -> handler.resolve(request), callback);
    }
}
