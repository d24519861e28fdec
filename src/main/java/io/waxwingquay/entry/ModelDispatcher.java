package io.waxwingquay.entry;

import io.waxwingquay.routing.RouteQuery;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Dispatches completions to side processes. A generation may run more than once, but its tokens differ from run to run,
 * so a caller that has received some tokens only receives the rest of the same run.
 */
final class ModelDispatcher {

    private final EntryComponents components;
    private final AtomicLong sequence = new AtomicLong();

    ModelDispatcher(EntryComponents components) {
        this.components = components;
    }

    /**
     * Dispatches one completion.
     *
     * @param request the request.
     * @param sink receives the chunks of the answer.
     * @return a future with the result of the attempt that completed the answer; fails with {@link CallFailure}.
     * @throws CallFailure if the request is quarantined.
     */
    CompletableFuture<AttemptResult> answer(ModelRequest request, AnswerSink sink) {
        components.refuseQuarantined(request.fingerprint());
        RouteQuery query = new RouteQuery(
                request.service(),
                components.configuration().dataCentre(),
                request.items(),
                request.prefixHash(),
                sequence.getAndIncrement(),
                Set.of());
        return new RetryingCall(components, request.context(), request.toSubmission(), query, sink).run();
    }
}
