package io.waxwingquay.entry;

import io.waxwingquay.claim.ClaimStore;
import io.waxwingquay.routing.RouteQuery;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * Answers calls to plain services: idempotent ones like a completion, the others under a claim.
 */
final class ServiceFlow {

    private final EntryParts parts;
    private final ClaimStore store;
    private final OutcomeWriter outcomes;
    private final AtomicLong sequence = new AtomicLong();

    ServiceFlow(EntryParts parts, ClaimStore store, OutcomeWriter outcomes) {
        this.parts = parts;
        this.store = store;
        this.outcomes = outcomes;
    }

    /**
     * Answers one call.
     *
     * @param request the call.
     * @param abandoned tells whether the caller has gone.
     * @return the answer; fails with {@link CallFailure}.
     */
    CompletableFuture<ServiceAnswer> answer(ServiceRequest request, BooleanSupplier abandoned) {
        RouteQuery query = new RouteQuery(
                request.service(),
                parts.settings().dataCentre(),
                List.of(),
                request.fingerprint(),
                sequence.getAndIncrement(),
                Set.of());
        if (request.nonIdempotent()) {
            return new ClaimedCall(parts, store, outcomes, request, query).run();
        }
        AnswerSink.Buffered sink = new AnswerSink.Buffered(abandoned);
        return new RetryingFlow(parts, request.context(), request.toSubmission(), query, sink)
                .run()
                .thenApply(end -> ServiceAnswer.of(end, sink.bytes(), false));
    }
}
