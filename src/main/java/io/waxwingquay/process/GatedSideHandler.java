package io.waxwingquay.process;

import io.waxwingquay.side.SideNode;
import io.waxwingquay.transport.ForwardingPeer;
import io.waxwingquay.transport.PeerProtocol;
import io.waxwingquay.transport.SideProtocol;
import io.waxwingquay.transport.generated.AttemptState;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.LoadReport;
import io.waxwingquay.transport.generated.PollAnswer;
import io.waxwingquay.transport.generated.PollRequest;
import io.waxwingquay.transport.generated.Refusal;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.ResolveAnswer;
import io.waxwingquay.transport.generated.ResolveRequest;
import io.waxwingquay.transport.generated.Submission;
import io.waxwingquay.transport.generated.SubmitAnswer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

/**
 * Answers peers from the start of a side process, and passes the calls of entries to its node once a bundle is in
 * force.
 */
final class GatedSideHandler extends ForwardingPeer implements SideProtocol {

    private static final long RETRY_AFTER_MILLIS = 1_000L;

    private final long epoch;
    private final AtomicReference<Optional<SideNode>> node = new AtomicReference<>(Optional.empty());

    GatedSideHandler(PeerProtocol peer, long epoch) {
        super(peer);
        this.epoch = epoch;
    }

    /**
     * Passes the calls of entries to a node from now on.
     *
     * @param readyNode the node.
     */
    void open(SideNode readyNode) {
        node.set(Optional.of(readyNode));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<SubmitAnswer> submit(Submission submission) {
        return callIfReady(
                readyNode -> readyNode.submit(submission),
                new SubmitAnswer(false, new LoadReport(), epoch).setRefusal(notReady(Execution.DID_NOT_RUN)));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<PollAnswer> poll(PollRequest request) {
        return callIfReady(
                readyNode -> readyNode.poll(request),
                new PollAnswer(AttemptState.ABSENT, List.of(), new LoadReport())
                        .setFailure(notReady(Execution.UNKNOWN)));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> cancel(String attemptId) {
        return callIfReady(readyNode -> readyNode.cancel(attemptId), false);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<ResolveAnswer> resolve(ResolveRequest request) {
        return callIfReady(
                readyNode -> readyNode.resolve(request), new ResolveAnswer(Execution.UNKNOWN, AttemptState.ABSENT));
    }

    private <T> CompletableFuture<T> callIfReady(Function<SideNode, CompletableFuture<T>> call, T fallback) {
        return node.get().map(call).orElseGet(() -> CompletableFuture.completedFuture(fallback));
    }

    private static Refusal notReady(Execution execution) {
        return new Refusal(
                RefusalReason.NOT_READY, "this side has no bundle in force yet", RETRY_AFTER_MILLIS, execution);
    }
}
