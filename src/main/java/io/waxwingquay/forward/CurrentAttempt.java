package io.waxwingquay.forward;

import io.waxwingquay.manifest.Route;
import io.waxwingquay.net.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The attempt of a request that is in progress, if there is one, and whether any of its attempts may have run. While
 * another replica is sought for a request whose replica is silent, there may be two.
 */
final class CurrentAttempt {

    /** Silence of a stream at an engine that grants slots after which another one resumes it; callers leave after 2 s. */
    private static final long GRANTED_STALL_MILLIS = 1_500L;

    private final ForwardContext context;
    private final MessageCodec.RequestHead head;
    private final Suspicion suspicion;
    private final Runnable onUnsent;
    private final long bodyBytes;
    private Optional<Attempt> running = Optional.empty();
    private Optional<Attempt> silent = Optional.empty();
    private final Set<Attempt> bodyHolders = new HashSet<>();
    private boolean mayHaveRun;

    /**
     * Creates the state of a request that was not sent.
     *
     * @param context the forwarder.
     * @param terms the terms of the request.
     * @param suspicion whether the request may crash replicas.
     * @param onUnsent run when an attempt is cancelled of which nothing was sent.
     */
    CurrentAttempt(ForwardContext context, RequestTerms terms, Suspicion suspicion, Runnable onUnsent) {
        this.context = context;
        this.head = terms.head();
        this.suspicion = suspicion;
        this.onUnsent = onUnsent;
        this.bodyBytes = terms.bodyBytes();
    }

    /** Notes an attempt that is sent now. */
    void started(Attempt next) {
        running = Optional.of(next);
        next.target()
                .requestSent(
                        head.model(),
                        head.adapter(),
                        EngineRequirements.kvTokensAt(next.target(), head, next.sentMillis()),
                        next.sentMillis());
        next.target().bodyShare().sent(bodyBytes);
        bodyHolders.add(next);
        head.model().ifPresent(context.demandMeter()::started);
    }

    /** Returns whether a replica works on the request, as far as this entry knows. */
    boolean isRunning() {
        return running.isPresent() || silent.isPresent();
    }

    /** Returns whether the attempt is kept although its replica is silent. */
    boolean isSilent(Attempt attempt) {
        return silent.filter(kept -> kept == attempt).isPresent();
    }

    /** Keeps the running attempt, whose replica is silent, while another replica is sought. */
    void keepSilent() {
        silent = running;
        running = Optional.empty();
        mayHaveRun = true;
        suspicion.ended();
    }

    /** Goes on with the silent attempt and cancels the running one; returns whether there is a silent one. */
    boolean returnToSilent(long nowMillis) {
        if (silent.isEmpty()) {
            return false;
        }
        cancelRunning();
        running = silent;
        silent = Optional.empty();
        running.get().awaitAgain(nowMillis);
        return true;
    }

    /** Cancels the silent attempt, as another replica has begun its answer. */
    void cancelSilent() {
        silent.ifPresent(attempt -> {
            attempt.cancel();
            release(attempt);
        });
    }

    /** Returns whether a replica may have begun to run the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Notes that a replica may have begun to run the request. */
    void noteMayHaveRun() {
        mayHaveRun = true;
    }

    /** Returns whether the replica of the running attempt may have received any of it. */
    boolean mayHaveBeenSent() {
        return running.filter(Attempt::mayHaveBeenSent).isPresent();
    }

    /** Cancels the attempt; a request of which nothing was sent is known not to have run. */
    void withdraw() {
        mayHaveRun |= mayHaveBeenSent();
        cancel();
    }

    /** Cancels all that is in progress. */
    void cancel() {
        cancelSilent();
        cancelRunning();
    }

    private void cancelRunning() {
        running.ifPresent(attempt -> {
            boolean unsent = !attempt.mayHaveBeenSent();
            attempt.cancel();
            release(attempt);
            if (unsent) {
                onUnsent.run();
            }
        });
    }

    /** Notes that a replica has begun its answer: it has read the body, which need not count any longer. */
    void answerBegan(Attempt from) {
        releaseBody(from);
    }

    private void releaseBody(Attempt from) {
        if (bodyHolders.remove(from)) {
            from.target().bodyShare().ended(bodyBytes);
        }
    }

    /** Notes that an attempt has ended. */
    void release(Attempt ended) {
        if (!isSilent(ended)) {
            suspicion.ended();
        }
        running = running.filter(attempt -> attempt != ended);
        silent = silent.filter(attempt -> attempt != ended);
        ended.target().requestEnded(head.model(), head.adapter());
        releaseBody(ended);
        head.model().ifPresent(model -> context.demandMeter().ended(model, EventLoop.nowMillis() - ended.sentMillis()));
    }

    /**
     * Returns the running attempt if nothing has come for so long that another replica should take the request over, and
     * none is silent already. A stream at an engine that grants slots and is heard is given longer: the engine holds no
     * more requests than slots, so the stream most likely goes on, and elsewhere it has to wait for a slot first.
     */
    Optional<Attempt> stalled(Route route, ExchangeState state, long nowMillis) {
        return running.filter(attempt -> silent.isEmpty())
                .filter(attempt -> attempt.isStalled(route, state, nowMillis))
                .filter(attempt -> state != ExchangeState.STREAMING
                        || !attempt.target().grantsSlots(nowMillis)
                        || nowMillis - attempt.lastReceivedMillis() > GRANTED_STALL_MILLIS);
    }

    /** Returns whether the engine of the running attempt may be unresponsive. */
    boolean isDoubtful(long nowMillis) {
        return running.filter(attempt -> attempt.mayBeUnresponsive(nowMillis)).isPresent();
    }
}
