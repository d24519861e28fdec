package io.waxwingquay.entry;

import io.waxwingquay.transport.generated.ServiceCall;
import io.waxwingquay.transport.generated.Submission;
import java.util.Optional;

/**
 * A valid call to a plain service.
 *
 * @param context identity and deadline.
 * @param service the service.
 * @param operation the operation.
 * @param body the body, JSON.
 * @param idempotencyKey the caller's key, if any.
 * @param nonIdempotent whether it may run at most once; the key is then present.
 * @param fingerprint hash of operation and body.
 */
public record ServiceRequest(
        CallContext context,
        String service,
        String operation,
        byte[] body,
        Optional<String> idempotencyKey,
        boolean nonIdempotent,
        long fingerprint) {

    /**
     * The message to a side process, without attempt, times and epoch.
     *
     * @return a new message.
     */
    Submission toSubmission() {
        ServiceCall call = new ServiceCall()
                .setOperation(operation)
                .setBody(body)
                .setContentType("application/json")
                .setNonIdempotent(nonIdempotent);
        idempotencyKey.ifPresent(call::setIdempotencyKey);
        return new Submission()
                .setRequestId(context.requestId())
                .setServiceName(service)
                .setFingerprint(fingerprint)
                .setPlain(call);
    }
}
