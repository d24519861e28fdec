package io.waxwingquay.engine;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A plain service beside the model engines. The future fails with {@link TargetException}.
 */
public interface PlainService {

    /**
     * Calls an operation once.
     *
     * @param call the call.
     * @return the service's answer.
     */
    CompletableFuture<Answer> call(Call call);

    /**
     * A call.
     *
     * @param operation the operation's name.
     * @param requestId the caller's request identity.
     * @param idempotencyKey the caller's key, if any.
     * @param contentType type of the body.
     * @param body the body.
     */
    record Call(String operation, String requestId, Optional<String> idempotencyKey, String contentType, byte[] body) {}

    /**
     * An answer.
     *
     * @param statusCode the HTTP status.
     * @param contentType type of the body.
     * @param body the body.
     */
    record Answer(int statusCode, String contentType, byte[] body) {}
}
