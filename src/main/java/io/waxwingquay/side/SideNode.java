package io.waxwingquay.side;

import io.waxwingquay.ledger.MemoryLedger.Snapshot;
import io.waxwingquay.transport.ForwardingPeer;
import io.waxwingquay.transport.PeerProtocol;
import io.waxwingquay.transport.SideProtocol;
import io.waxwingquay.transport.generated.AttemptState;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.PollAnswer;
import io.waxwingquay.transport.generated.PollRequest;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.ResolveAnswer;
import io.waxwingquay.transport.generated.ResolveRequest;
import io.waxwingquay.transport.generated.SideState;
import io.waxwingquay.transport.generated.Submission;
import io.waxwingquay.transport.generated.SubmitAnswer;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * The only door to one target. Built by {@link SideNodeBuilder}.
 */
public final class SideNode extends ForwardingPeer implements SideProtocol, AutoCloseable {

    private static final System.Logger LOG = System.getLogger("waxwingquay.side");
    private static final long DRAIN_CHECK_INTERVAL_MILLIS = 20L;

    /** An entry that lost an answer asks again after 1 s at most (its longest time-out of a call) and its first pause. */
    private static final long POLL_RESEND_MILLIS = 1_500L;

    private final SideParts parts;

    SideNode(SideParts parts, PeerProtocol peer) {
        super(peer);
        this.parts = parts;
    }

    /**
     * Starts the order loop and publishes this side.
     */
    public void start() {
        parts.recordPublisher().publish();
        parts.housekeeping().runNow();
    }

    /**
     * Runs the order loop and housekeeping once, now.
     *
     * @return completes when done.
     */
    public CompletableFuture<Void> tick() {
        return parts.housekeeping().runOnce();
    }

    /**
     * Leaves: refuses new work, refuses queued work truthfully, and lets running work end and be fetched.
     *
     * @param limitMillis the longest wait.
     * @return completes when nothing is left or the limit has passed; the side may then be closed.
     */
    public CompletableFuture<Void> drain(long limitMillis) {
        leave();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        parts.gate().close().thenRun(() -> awaitDelivery(drained));
        return drained.completeOnTimeout(null, limitMillis, TimeUnit.MILLISECONDS)
                .thenRun(() -> parts.recordPublisher().handle(SideEvent.DRAINED));
    }

    /**
     * The memory ledger.
     *
     * @return a snapshot, or empty for a plain service.
     */
    public Optional<Snapshot> memory() {
        return parts.memory().get();
    }

    /**
     * Wanted items for which there is no room.
     *
     * @return the items.
     */
    public List<String> unplaceableItems() {
        return parts.residencyLoop().map(ResidencyLoop::unplaceableItems).orElse(List.of());
    }

    /**
     * The attempts that are remembered, for dumps.
     *
     * @return how many are in each state.
     */
    public Map<RequestState, Long> attemptsByState() {
        return parts.attempts().all().stream()
                .collect(Collectors.groupingBy(
                        Attempt::state, () -> new EnumMap<>(RequestState.class), Collectors.counting()));
    }

    /**
     * When the order loop last read the engine's residency, for dumps.
     *
     * @return the time by the monotonic clock, or empty before the first report and for a plain service.
     */
    public Optional<Long> lastResidencyReadMillis() {
        return parts.residencyLoop().flatMap(ResidencyLoop::lastReadMillis);
    }

    /**
     * The lifecycle of this side.
     *
     * @return its state.
     */
    public SideState state() {
        return parts.recordPublisher().state();
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<SubmitAnswer> submit(Submission submission) {
        Optional<AdmissionCheck.Rejection> rejection = parts.admission().submit(submission);
        long epoch = parts.context().identity().epoch();
        SubmitAnswer answer =
                new SubmitAnswer(rejection.isEmpty(), parts.loadMeter().report(), epoch);
        rejection.ifPresent(found -> {
            parts.context()
                    .count("waxwingquay.side.refusals", "reason", found.reason().name());
            LOG.log(
                    System.Logger.Level.INFO,
                    () -> "side: request " + submission.getRequestId() + " was refused, " + found.reason() + ", "
                            + found.execution() + ".");
            answer.setRefusal(parts.loadMeter().refusal(found.reason(), found.message(), found.execution()));
        });
        return CompletableFuture.completedFuture(answer);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<PollAnswer> poll(PollRequest request) {
        Optional<Attempt> attempt = parts.attempts().find(request.getAttemptId());
        if (attempt.isEmpty()) {
            PollAnswer absent = new PollAnswer(
                    AttemptState.ABSENT, new ArrayList<>(), parts.loadMeter().report());
            absent.setFailure(parts.loadMeter()
                    .refusal(RefusalReason.EXPIRED_ATTEMPT, "this side does not know the attempt", Execution.UNKNOWN));
            return CompletableFuture.completedFuture(absent);
        }
        return attempt.get()
                .poll(
                        request.getFromOffset(),
                        Math.min(
                                request.getWaitMillis(),
                                parts.context().limits().pollWaitMillis()),
                        parts.context().clock().monotonicMillis(),
                        parts.loadMeter()::report);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> cancel(String attemptId) {
        Optional<Attempt> attempt = parts.attempts().find(attemptId);
        attempt.ifPresent(found -> found.cancel(parts.context().clock().monotonicMillis()));
        return CompletableFuture.completedFuture(attempt.isPresent());
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<ResolveAnswer> resolve(ResolveRequest request) {
        if (request.getSideEpoch() != parts.context().identity().epoch()) {
            return CompletableFuture.completedFuture(new ResolveAnswer(Execution.UNKNOWN, AttemptState.ABSENT));
        }
        return CompletableFuture.completedFuture(
                parts.attempts().resolve(request.getAttemptId(), request.isWithdraw()));
    }

    /** Stops at once, whatever is in flight; drain first. */
    @Override
    public void close() {
        parts.gate().close();
        parts.housekeeping().close();
        parts.residencyLoop().ifPresent(ResidencyLoop::retire);
        parts.context().scheduler().shutdownNow();
    }

    /** Refuses new and queued work from now on. */
    void leave() {
        LOG.log(System.Logger.Level.INFO, "side: leaving.");
        parts.gate().close();
        parts.residencyLoop().ifPresent(ResidencyLoop::retire);
        parts.recordPublisher().handle(SideEvent.LEAVE);
        parts.admission()
                .dispatcher()
                .rejectQueued(parts.loadMeter()
                        .refusal(RefusalReason.LEAVING, "this side is leaving", Execution.DID_NOT_RUN));
    }

    /**
     * An answer that has ended here may not have reached its entry yet. Going away now would cut it off, so
     * the side stays until each answer was polled to its end or its entry has gone. The reply to that poll is still to be
     * sent then, and may be lost; so it stays for as long as an entry that did not get it takes to ask again.
     */
    private void awaitDelivery(CompletableFuture<Void> drained) {
        long nowMillis = parts.context().clock().monotonicMillis();
        long abandonedMillis = parts.context().limits().unpolledLimitMillis();
        boolean delivered = parts.attempts().all().stream()
                .allMatch(attempt -> attempt.isEndDelivered(POLL_RESEND_MILLIS, nowMillis)
                        || attempt.isEndedFor(abandonedMillis, nowMillis));
        if (delivered) {
            drained.complete(null);
        } else if (!drained.isDone()) {
            parts.context()
                    .scheduler()
                    .schedule(() -> awaitDelivery(drained), DRAIN_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
