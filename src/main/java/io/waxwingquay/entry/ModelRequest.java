package io.waxwingquay.entry;

import io.waxwingquay.transport.generated.ModelCall;
import io.waxwingquay.transport.generated.Submission;
import java.util.List;
import java.util.Optional;

/**
 * Represents a valid completion request.
 *
 * @param context the request id and the deadline.
 * @param service the service that runs the model.
 * @param model the model's name.
 * @param adapter the adapter's name, if any.
 * @param items the items that must be resident, the model first.
 * @param prompt the prompt.
 * @param maxTokens the maximum number of tokens to generate.
 * @param priority the scheduling priority; higher values run first.
 * @param stream whether to stream the answer.
 * @param fingerprint the hash of the request's content, equal for a resend.
 * @param prefixHash the hash of the model, the adapter and the start of the prompt.
 */
public record ModelRequest(
        CallContext context,
        String service,
        String model,
        Optional<String> adapter,
        List<String> items,
        String prompt,
        int maxTokens,
        int priority,
        boolean stream,
        long fingerprint,
        long prefixHash) {

    /**
     * Creates the message to a side process, without attempt id, times and epoch.
     *
     * @return a new message.
     */
    Submission toSubmission() {
        ModelCall call = new ModelCall()
                .setModel(model)
                .setPrompt(prompt)
                .setMaxTokens(maxTokens)
                .setPriority(priority)
                .setPrefixHash(prefixHash);
        adapter.ifPresent(call::setAdapter);
        return new Submission()
                .setRequestId(context.requestId())
                .setServiceName(service)
                .setFingerprint(fingerprint)
                .setModel(call);
    }
}
