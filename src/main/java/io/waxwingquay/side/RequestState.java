package io.waxwingquay.side;

import io.waxwingquay.transport.generated.AttemptState;
import java.util.Optional;

/**
 * State of one attempt, with its only legal moves.
 */
enum RequestState {
    /** Taken in, not handed to the target. */
    QUEUED(AttemptState.QUEUED),
    /** Handed to the target. */
    RUNNING(AttemptState.RUNNING),
    /** The whole answer is here. */
    DONE(AttemptState.DONE),
    /** It ended with a refusal. */
    FAILED(AttemptState.FAILED),
    /** It was cancelled or withdrawn. */
    CANCELLED(AttemptState.CANCELLED);

    private final AttemptState wire;

    RequestState(AttemptState wire) {
        this.wire = wire;
    }

    AttemptState wire() {
        return wire;
    }

    boolean hasEnded() {
        return this == DONE || this == FAILED || this == CANCELLED;
    }

    Optional<RequestState> after(Event event) {
        return switch (event) {
            case START -> this == QUEUED ? Optional.of(RUNNING) : Optional.empty();
            case FINISH -> this == RUNNING ? Optional.of(DONE) : Optional.empty();
            case FAIL -> hasEnded() ? Optional.empty() : Optional.of(FAILED);
            case CANCEL -> hasEnded() ? Optional.empty() : Optional.of(CANCELLED);
            case REFUSE -> this == QUEUED ? Optional.of(FAILED) : Optional.empty();
            case WITHDRAW -> this == QUEUED ? Optional.of(CANCELLED) : Optional.empty();
        };
    }

    /** What moves an attempt. */
    enum Event {
        /** It is handed to the target. */
        START,
        /** The target finished it. */
        FINISH,
        /** It was refused or its target failed. */
        FAIL,
        /** It was refused before it was handed over. */
        REFUSE,
        /** Nobody wants its answer. */
        CANCEL,
        /** It must never start. */
        WITHDRAW
    }
}
