package io.waxwingquay.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import io.waxwingquay.common.Json;
import java.util.List;
import java.util.Locale;

/**
 * Defines the JSON messages that callers receive.
 */
final class CallerMessages {

    private static final String OBJECT = "text_completion";

    private CallerMessages() {}

    record ErrorBody(ErrorDetail error) {}

    record ErrorDetail(
            String code,
            String message,
            String element,
            String execution,
            @JsonProperty("retry_after_millis") long retryAfterMillis) {}

    record Choice(int index, String text, @JsonProperty("finish_reason") String finishReason) {}

    record Usage(@JsonProperty("completion_tokens") long completionTokens) {}

    record Completion(String id, String object, String model, List<Choice> choices, Usage usage) {}

    record Piece(String id, String object, String model, long offset, int units, List<Choice> choices) {}

    static String error(CallFailure failure) {
        return write(new ErrorBody(new ErrorDetail(
                failure.code().code(),
                failure.getMessage(),
                failure.element(),
                failure.execution().name().toLowerCase(Locale.ROOT),
                failure.retryAfterMillis())));
    }

    static String completion(ModelRequest request, String text, long tokens) {
        Choice choice = new Choice(0, text, "stop");
        return write(new Completion(
                request.context().requestId(), OBJECT, request.model(), List.of(choice), new Usage(tokens)));
    }

    static String piece(ModelRequest request, long offset, int units, String text) {
        Choice choice = new Choice(0, text, null);
        return write(new Piece(request.context().requestId(), OBJECT, request.model(), offset, units, List.of(choice)));
    }

    private static String write(Object message) {
        try {
            return Json.MAPPER.writeValueAsString(message);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("answer cannot be written as JSON", failure);
        }
    }
}
