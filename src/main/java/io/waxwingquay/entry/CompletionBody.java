package io.waxwingquay.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;

/**
 * The body of a completion request, as callers write it.
 *
 * @param model the model's name.
 * @param adapter the adapter's name.
 * @param prompt the prompt.
 * @param maxTokens the most tokens wanted.
 * @param stream whether the answer comes as server-sent events.
 * @param priority a higher one goes first; the model's own if absent.
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
