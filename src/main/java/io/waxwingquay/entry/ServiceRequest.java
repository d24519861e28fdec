package io.waxwingquay.entry;

import io.waxwingquay.transport.generated.ServiceCall;
import io.waxwingquay.transport.generated.Submission;
import java.util.Optional;

/**
 * Represents a valid call to a plain service.
 *
 * @param context the request id and the deadline.
 * @param service the name of the service.
 * @param operation the name of the operation.
 * @param body the body, as JSON.
 * @param idempotencyKey the caller's idempotency key, if any.
 * @param nonIdempotent whether it may run at most once; the key is then present.
 * @param fingerprint the hash of service, operation and body, equal for a resend.
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
     * Creates the message to a side process, without attempt id, times and epoch.
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
