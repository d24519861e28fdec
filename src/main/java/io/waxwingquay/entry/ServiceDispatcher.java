package io.waxwingquay.entry;

import io.waxwingquay.claim.ClaimStore;
import io.waxwingquay.routing.RouteQuery;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * Dispatches calls of plain services to side processes: idempotent calls with retries, non-idempotent ones under a
 * claim.
 */
final class ServiceDispatcher {

    private final EntryComponents components;
    private final ClaimStore claimStore;
    private final OutcomeWriter outcomeWriter;
    private final AtomicLong sequence = new AtomicLong();

    ServiceDispatcher(EntryComponents components, ClaimStore claimStore, OutcomeWriter outcomeWriter) {
        this.components = components;
        this.claimStore = claimStore;
        this.outcomeWriter = outcomeWriter;
    }

    /**
     * Dispatches one call.
     *
     * @param request the call.
     * @param abandoned returns whether the caller has disconnected.
     * @return a future with the answer; fails with {@link CallFailure}.
     */
    CompletableFuture<ServiceAnswer> answer(ServiceRequest request, BooleanSupplier abandoned) {
        RouteQuery query = new RouteQuery(
                request.service(),
                components.configuration().dataCentre(),
                List.of(),
                request.fingerprint(),
                sequence.getAndIncrement(),
                Set.of());
        if (request.nonIdempotent()) {
            return new ClaimedCall(components, claimStore, outcomeWriter, request, query).run();
        }
        AnswerSink.Buffered sink = new AnswerSink.Buffered(abandoned);
        return new RetryingCall(components, request.context(), request.toSubmission(), query, sink)
                .run()
                .thenApply(result -> ServiceAnswer.of(result, sink.bytes(), false));
    }
}
