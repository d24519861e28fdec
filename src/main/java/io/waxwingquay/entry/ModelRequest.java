package io.waxwingquay.entry;

import io.waxwingquay.transport.generated.ModelCall;
import io.waxwingquay.transport.generated.Submission;
import java.util.List;
import java.util.Optional;

/**
 * A valid request for a completion.
 *
 * @param context identity and deadline.
 * @param service the service that runs the model.
 * @param model the model's name.
 * @param adapter the adapter's name, if any.
 * @param items what has to be resident, the model first.
 * @param prompt the prompt.
 * @param maxTokens the most tokens generated.
 * @param priority a higher one goes first.
 * @param stream whether the caller wants the pieces as they come.
 * @param fingerprint hash of what is asked, equal for a resend.
 * @param prefixHash hash of the prompt's beginning.
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
     * The message to a side process, without attempt, times and epoch.
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
