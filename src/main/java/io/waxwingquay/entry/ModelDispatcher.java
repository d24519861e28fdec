package io.waxwingquay.entry;

import io.waxwingquay.routing.RouteQuery;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Answers completions. A generation may run more than once, but its tokens differ from run to run, so a caller
 * who has seen some of them is only ever given the rest of the same run.
 */
final class ModelDispatcher {

    private final EntryComponents components;
    private final AtomicLong sequence = new AtomicLong();

    ModelDispatcher(EntryComponents components) {
        this.components = components;
    }

    /**
     * Answers one completion.
     *
     * @param request the request.
     * @param sink where the pieces go.
     * @return the end of a whole answer; fails with {@link CallFailure}.
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
