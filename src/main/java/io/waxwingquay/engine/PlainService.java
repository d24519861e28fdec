package io.waxwingquay.engine;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Interface of a plain service, a target that is not a model engine. The future fails with {@link TargetException}.
 */
public interface PlainService {

    /**
     * Calls an operation. The call is sent at most once.
     *
     * @param call the call.
     * @return the service's answer.
     */
    CompletableFuture<Answer> call(Call call);

    /**
     * Describes a call of an operation.
     *
     * @param operation the operation's name.
     * @param requestId the request id.
     * @param idempotencyKey the caller's idempotency key, if any.
     * @param contentType the media type of the body.
     * @param body the body.
     */
    record Call(String operation, String requestId, Optional<String> idempotencyKey, String contentType, byte[] body) {}

    /**
     * Represents the answer to a call.
     *
     * @param statusCode the HTTP status.
     * @param contentType the media type of the body.
     * @param body the body.
     */
    record Answer(int statusCode, String contentType, byte[] body) {}
}
