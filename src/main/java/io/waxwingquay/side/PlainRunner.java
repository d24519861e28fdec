package io.waxwingquay.side;

import io.waxwingquay.engine.PlainService;
import io.waxwingquay.engine.TargetException;
import io.waxwingquay.engine.TargetException.Kind;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.ServiceCall;
import io.waxwingquay.transport.generated.Submission;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/**
 * Runs attempts on a plain service, with exactly one call for each.
 */
final class PlainRunner {

    private final SideContext context;
    private final PlainService service;
    private final LoadMeter loadMeter;

    PlainRunner(SideContext context, PlainService service, LoadMeter loadMeter) {
        this.context = context;
        this.service = service;
        this.loadMeter = loadMeter;
    }

    /** Runs an attempt that has just been started. */
    void run(Attempt attempt) {
        service.call(call(attempt.submission())).whenComplete((answer, failure) -> {
            long nowMillis = context.clock().monotonicMillis();
            if (failure == null) {
                attempt.finishPlain(answer.statusCode(), answer.contentType(), answer.body(), nowMillis);
            } else {
                String message =
                        "the call to the target failed: " + cause(failure).getMessage();
                attempt.fail(loadMeter.refusal(RefusalReason.TARGET_DOWN, message, execution(failure)), nowMillis);
            }
        });
    }

    private static PlainService.Call call(Submission submission) {
        ServiceCall call = submission.getPlain();
        return new PlainService.Call(
                call.getOperation(),
                submission.getRequestId(),
                Optional.ofNullable(call.getIdempotencyKey()),
                call.getContentType(),
                call.getBody());
    }

    private static Execution execution(Throwable failure) {
        boolean neverRan = cause(failure) instanceof TargetException target && target.kind() != Kind.LOST;
        return neverRan ? Execution.DID_NOT_RUN : Execution.UNKNOWN;
    }

    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
