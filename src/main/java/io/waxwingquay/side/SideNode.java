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
 * The process through which all requests to one engine or service pass. Built by {@link SideNodeBuilder}.
 */
public final class SideNode extends ForwardingPeer implements SideProtocol, AutoCloseable {

    private static final System.Logger LOG = System.getLogger("waxwingquay.side");
    private static final long DRAIN_CHECK_INTERVAL_MILLIS = 20L;

    /**
     * How long an entry that lost an answer is given to resend its call. By default a submission times out after 1 s
     * and a poll 500 ms after its own wait, which is later than 1 s if that wait is above 500 ms. The first backoff
     * adds at most 20 ms; the rest is a margin.
     */
    private static final long POLL_RESEND_MILLIS = 1_500L;

    private final SideParts parts;

    SideNode(SideParts parts, PeerProtocol peer) {
        super(peer);
        this.parts = parts;
    }

    /**
     * Publishes this side's record to membership and starts housekeeping, which in front of an engine includes the loop
     * that orders the engine to load and unload.
     */
    public void start() {
        parts.recordPublisher().publish();
        parts.housekeeping().runNow();
    }

    /**
     * Runs housekeeping once, beginning with the loop that orders the engine to load and unload, if there is one.
     *
     * @return a future that completes when housekeeping is done.
     */
    public CompletableFuture<Void> tick() {
        return parts.housekeeping().runOnce();
    }

    /**
     * Drains this side: rejects new attempts, rejects queued attempts and reports that they did not run, and waits
     * until running attempts have ended and their answers have been delivered.
     *
     * @param limitMillis the longest wait.
     * @return a future that completes when every answer was delivered or its entry is presumed dead, or when the limit
     *     has passed; the side may then be closed.
     */
    public CompletableFuture<Void> drain(long limitMillis) {
        leave();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        parts.gate().close().thenRun(() -> awaitDelivery(drained));
        return drained.completeOnTimeout(null, limitMillis, TimeUnit.MILLISECONDS)
                .thenRun(() -> parts.recordPublisher().handle(SideEvent.DRAINED));
    }

    /**
     * Returns a snapshot of the memory ledger.
     *
     * @return the snapshot, or empty for a plain service.
     */
    public Optional<Snapshot> memory() {
        return parts.memory().get();
    }

    /**
     * Returns the wanted models and adapters that do not fit into memory.
     *
     * @return the item names.
     */
    public List<String> unplaceableItems() {
        return parts.residencyLoop().map(ResidencyLoop::unplaceableItems).orElse(List.of());
    }

    /**
     * Counts the retained attempts by state, for state dumps.
     *
     * @return the number of attempts in each state.
     */
    public Map<RequestState, Long> attemptsByState() {
        return parts.attempts().all().stream()
                .collect(Collectors.groupingBy(
                        Attempt::state, () -> new EnumMap<>(RequestState.class), Collectors.counting()));
    }

    /**
     * Returns when the last received report of the engine's memory was requested, for state dumps. The loop that orders
     * the engine to load and unload requests these reports.
     *
     * @return the time in monotonic milliseconds, or empty before the first report and for a plain service.
     */
    public Optional<Long> lastResidencyReadMillis() {
        return parts.residencyLoop().flatMap(ResidencyLoop::lastReadMillis);
    }

    /**
     * Returns the lifecycle state of this side.
     *
     * @return the state.
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
                    .refusal(
                            RefusalReason.EXPIRED_ATTEMPT, "no such attempt is known to this side", Execution.UNKNOWN));
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

    /** Stops at once and abandons attempts in flight; call {@link #drain} first. */
    @Override
    public void close() {
        parts.gate().close();
        parts.housekeeping().close();
        parts.residencyLoop().ifPresent(ResidencyLoop::retire);
        parts.context().scheduler().shutdownNow();
    }

    /** Rejects new and queued attempts from now on, and stops all orders to the engine. */
    void leave() {
        LOG.log(System.Logger.Level.INFO, "side: leaving; new and queued requests are rejected.");
        parts.gate().close();
        parts.residencyLoop().ifPresent(ResidencyLoop::retire);
        parts.recordPublisher().handle(SideEvent.LEAVE);
        parts.admission()
                .dispatcher()
                .rejectQueued(parts.loadMeter()
                        .refusal(RefusalReason.LEAVING, "this side is leaving", Execution.DID_NOT_RUN));
    }

    /**
     * Completes a drain once all answers are delivered. An answer that is complete here may not have reached its entry
     * yet, and an exit would cut it off, so the side stays until the final poll of each attempt was answered or its
     * entry is presumed dead. The answer to the final poll may be lost, so the side also stays for as long as an entry
     * that did not receive it takes to resend the poll. A cancelled attempt counts as delivered.
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
