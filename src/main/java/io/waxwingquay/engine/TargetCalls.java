package io.waxwingquay.engine;

import io.waxwingquay.common.HttpCalls;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.Request;

/**
 * Sends requests to a target and translates HTTP failures into {@link TargetException}.
 */
final class TargetCalls {

    private TargetCalls() {}

    static CompletableFuture<HttpCalls.Reply> send(Request request, long timeoutMillis, String targetDescription) {
        return HttpCalls.send(request, timeoutMillis).handle((reply, failure) -> {
            if (failure != null) {
                throw exception((HttpCalls.Failure) failure, targetDescription);
            }
            return reply;
        });
    }

    static TargetException exception(HttpCalls.Failure failure, String targetDescription) {
        TargetException.Kind kind =
                failure.mayHaveBeenSent() ? TargetException.Kind.LOST : TargetException.Kind.UNREACHABLE;
        return new TargetException(kind, targetDescription + ": " + failure.getMessage(), failure);
    }
}
