package io.waxwingquay.entry;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.membership.Side;
import io.waxwingquay.transport.SideProtocol;
import io.waxwingquay.transport.TransportException;
import io.waxwingquay.transport.generated.AttemptState;
import io.waxwingquay.transport.generated.BundleAnswer;
import io.waxwingquay.transport.generated.BundleRequest;
import io.waxwingquay.transport.generated.Chunk;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.GossipAnswer;
import io.waxwingquay.transport.generated.GossipRequest;
import io.waxwingquay.transport.generated.LoadReport;
import io.waxwingquay.transport.generated.PermitAnswer;
import io.waxwingquay.transport.generated.PermitRequest;
import io.waxwingquay.transport.generated.PermitReturn;
import io.waxwingquay.transport.generated.PollAnswer;
import io.waxwingquay.transport.generated.PollRequest;
import io.waxwingquay.transport.generated.Refusal;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.ResolveAnswer;
import io.waxwingquay.transport.generated.ResolveRequest;
import io.waxwingquay.transport.generated.SideState;
import io.waxwingquay.transport.generated.Submission;
import io.waxwingquay.transport.generated.SubmitAnswer;
import io.waxwingquay.transport.generated.SuspectNotice;
import io.waxwingquay.transport.generated.TargetKind;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/** In-memory side process that records attempts, answers with fixed chunks, and injects configured faults. */
final class FakeSide implements SideProtocol {

    enum Fault {
        NONE,
        LOSE_ANSWER,
        LOSE_ANSWER_AND_RESTART,
        UNREACHED
    }

    final Queue<Fault> submitFaults = new ArrayDeque<>();
    final Queue<Fault> pollFaults = new ArrayDeque<>();
    final Queue<Refusal> nextRefusals = new ArrayDeque<>();
    final Queue<Refusal> refusalsAfterRestart = new ArrayDeque<>();
    final Queue<Refusal> nextFailures = new ArrayDeque<>();
    final List<String> runs = new CopyOnWriteArrayList<>();
    final Set<String> cancelledAttempts = ConcurrentHashMap.newKeySet();
    UnaryOperator<PollAnswer> pollAnswerFilter = answer -> answer;
    String[] chunkTexts = {"one ", "two ", "three"};
    Supplier<CompletableFuture<Void>> pollDelay = () -> CompletableFuture.completedFuture(null);
    volatile boolean keepRunning;
    long epoch = 1;
    volatile int submissions;
    volatile Submission lastSubmission;

    private final String id;
    private final int port;
    private final Set<String> withdrawnAttempts = new HashSet<>();
    private final Map<String, Submission> submissionsByAttempt = new HashMap<>();
    private final Map<String, Refusal> failuresByAttempt = new HashMap<>();

    FakeSide(String id, int port) {
        this.id = id;
        this.port = port;
    }

    Side side(String service, Set<String> items) {
        return new Side(
                id,
                address(),
                "dc1",
                service,
                0,
                TargetKind.MODEL_ENGINE,
                epoch,
                1,
                SideState.SERVING,
                100,
                items,
                Map.of(),
                true);
    }

    HostPort address() {
        return new HostPort("127.0.0.1", port);
    }

    synchronized void restart() {
        epoch++;
        submissionsByAttempt.clear();
        withdrawnAttempts.clear();
        failuresByAttempt.clear();
        nextRefusals.addAll(refusalsAfterRestart);
    }

    @Override
    public synchronized CompletableFuture<SubmitAnswer> submit(Submission submission) {
        submissions++;
        lastSubmission = submission.deepCopy();
        Fault fault = next(submitFaults);
        if (fault == Fault.UNREACHED) {
            return connectionLost(false);
        }
        SubmitAnswer answer = admit(submission.deepCopy());
        if (fault == Fault.LOSE_ANSWER_AND_RESTART) {
            restart();
        }
        return fault != Fault.NONE ? connectionLost(true) : CompletableFuture.completedFuture(answer);
    }

    private SubmitAnswer admit(Submission submission) {
        String attemptId = submission.getAttemptId();
        boolean nonIdempotent = submission.isSetPlain() && submission.getPlain().isNonIdempotent();
        if (submissionsByAttempt.containsKey(attemptId)) {
            return accept();
        }
        if (nonIdempotent && submission.getSideEpoch() != epoch) {
            return refuse(new Refusal(RefusalReason.WRONG_EPOCH, "wrong epoch", 0, Execution.DID_NOT_RUN));
        }
        if (withdrawnAttempts.contains(attemptId)) {
            return refuse(new Refusal(RefusalReason.WITHDRAWN, "withdrawn", 0, Execution.DID_NOT_RUN));
        }
        Refusal refusal = nextRefusals.poll();
        if (refusal != null) {
            return refuse(refusal);
        }
        submissionsByAttempt.put(attemptId, submission);
        Optional.ofNullable(nextFailures.poll()).ifPresent(failure -> failuresByAttempt.put(attemptId, failure));
        runs.add(nonIdempotent ? submission.getPlain().getIdempotencyKey() : submission.getRequestId());
        return accept();
    }

    private SubmitAnswer accept() {
        return new SubmitAnswer(true, new LoadReport(1, 0, 0, 10, 10, 0), epoch);
    }

    private SubmitAnswer refuse(Refusal refusal) {
        return new SubmitAnswer(false, new LoadReport(1, 0, 0, 10, 10, 0), epoch).setRefusal(refusal);
    }

    @Override
    public CompletableFuture<PollAnswer> poll(PollRequest request) {
        return pollDelay.get().thenCompose(held -> answer(request));
    }

    private synchronized CompletableFuture<PollAnswer> answer(PollRequest request) {
        if (next(pollFaults) != Fault.NONE) {
            return connectionLost(true);
        }
        PollAnswer answer = new PollAnswer().setLoad(new LoadReport());
        String attemptId = request.getAttemptId();
        if (!submissionsByAttempt.containsKey(attemptId)) {
            return CompletableFuture.completedFuture(
                    answer.setState(AttemptState.ABSENT).setChunks(List.of()));
        }
        List<Chunk> chunks = new ArrayList<>();
        for (int offset = (int) request.getFromOffset(); offset < chunkTexts.length; offset++) {
            chunks.add(new Chunk()
                    .setOffset(offset)
                    .setUnits(1)
                    .setBytes(chunkTexts[offset].getBytes(StandardCharsets.UTF_8)));
        }
        answer.setChunks(chunks);
        if (failuresByAttempt.containsKey(attemptId)) {
            answer.setState(AttemptState.FAILED).setFailure(failuresByAttempt.get(attemptId));
        } else if (keepRunning) {
            answer.setState(AttemptState.RUNNING);
        } else {
            answer.setState(AttemptState.DONE).setTotalUnits(chunkTexts.length);
        }
        return CompletableFuture.completedFuture(pollAnswerFilter.apply(answer));
    }

    @Override
    public synchronized CompletableFuture<Boolean> cancel(String attemptId) {
        return CompletableFuture.completedFuture(cancelledAttempts.add(attemptId));
    }

    @Override
    public synchronized CompletableFuture<ResolveAnswer> resolve(ResolveRequest request) {
        if (request.getSideEpoch() != epoch) {
            return CompletableFuture.completedFuture(new ResolveAnswer(Execution.UNKNOWN, AttemptState.ABSENT));
        }
        if (submissionsByAttempt.containsKey(request.getAttemptId())) {
            return CompletableFuture.completedFuture(
                    keepRunning
                            ? new ResolveAnswer(Execution.UNKNOWN, AttemptState.RUNNING)
                            : new ResolveAnswer(Execution.RAN, AttemptState.DONE));
        }
        if (request.isWithdraw()) {
            withdrawnAttempts.add(request.getAttemptId());
        }
        return CompletableFuture.completedFuture(
                withdrawnAttempts.contains(request.getAttemptId())
                        ? new ResolveAnswer(Execution.DID_NOT_RUN, AttemptState.CANCELLED)
                        : new ResolveAnswer(Execution.UNKNOWN, AttemptState.ABSENT));
    }

    private static Fault next(Queue<Fault> faults) {
        return Optional.ofNullable(faults.poll()).orElse(Fault.NONE);
    }

    private static <T> CompletableFuture<T> connectionLost(boolean delivered) {
        return CompletableFuture.failedFuture(new TransportException(delivered, "connection lost", null));
    }

    @Override
    public CompletableFuture<GossipAnswer> gossip(GossipRequest request) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<BundleAnswer> fetchBundle(BundleRequest request) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Boolean> noteSuspects(SuspectNotice notice) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<PermitAnswer> borrowPermit(PermitRequest request) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Boolean> returnPermit(PermitReturn request) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Boolean> ping() {
        return CompletableFuture.completedFuture(true);
    }
}
