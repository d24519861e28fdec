package io.waxwingquay.engine;

import io.waxwingquay.common.HttpCalls;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.Request;

/**
 * Turns HTTP failures towards a target into {@link TargetException}.
 */
final class TargetCalls {

    private TargetCalls() {}

    static CompletableFuture<HttpCalls.Reply> send(Request request, long timeoutMillis, String target) {
        return HttpCalls.send(request, timeoutMillis).handle((reply, failure) -> {
            if (failure != null) {
                throw exception((HttpCalls.Failure) failure, target);
            }
            return reply;
        });
    }

    static TargetException exception(HttpCalls.Failure failure, String target) {
        TargetException.Kind kind =
                failure.mayHaveBeenSent() ? TargetException.Kind.LOST : TargetException.Kind.UNREACHABLE;
        return new TargetException(kind, target + ": " + failure.getMessage(), failure);
    }
}
