package io.waxwingquay.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * Represents the body of a completion request, as callers send it.
 *
 * @param model the model's name.
 * @param adapter the adapter's name.
 * @param prompt the prompt.
 * @param maxTokens the maximum number of tokens to generate.
 * @param stream whether to send the answer as server-sent events.
 * @param priority the scheduling priority, higher values first; the model's priority if absent.
 */
record CompletionBody(
        String model,
        Optional<String> adapter,
        String prompt,
        @JsonProperty("max_tokens") Optional<Integer> maxTokens,
        Optional<Boolean> stream,
        Optional<Integer> priority) {

    CompletionBody {
        adapter = adapter == null ? Optional.empty() : adapter;
        maxTokens = maxTokens == null ? Optional.empty() : maxTokens;
        stream = stream == null ? Optional.empty() : stream;
        priority = priority == null ? Optional.empty() : priority;
    }
}
