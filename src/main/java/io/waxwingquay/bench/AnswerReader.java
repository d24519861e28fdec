package io.waxwingquay.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.waxwingquay.common.Json;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;

/**
 * Reads one HTTP answer as a caller does: a stream of events, a plain body or an error.
 */
final class AnswerReader implements Response.Listener {

    private static final String DATA_PREFIX = "data: ";
    private static final String END_OF_STREAM = "[DONE]";
    private static final int STATUS_OK = 200;

    private final long sentNanos = System.nanoTime();
    private final CompletableFuture<CallerAnswer> answer = new CompletableFuture<>();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder text = new StringBuilder();
    private final StringBuilder plainBody = new StringBuilder();
    private OptionalLong firstTokenMicros = OptionalLong.empty();
    private Optional<CallerAnswer.Error> error = Optional.empty();
    private long tokens;
    private boolean isDone;
    private boolean isStream;

    private AnswerReader() {}

    static CompletableFuture<CallerAnswer> send(Request request) {
        AnswerReader reader = new AnswerReader();
        request.send(reader);
        return reader.answer;
    }

    /** {@inheritDoc} */
    @Override
    public void onContent(Response response, ByteBuffer content) {
        while (content.hasRemaining()) {
            byte next = content.get();
            if (next == '\n') {
                processLine();
            } else {
                line.write(next);
            }
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onComplete(Result result) {
        processLine();
        int status = result.getResponse() == null ? 0 : result.getResponse().getStatus();
        if (!isStream) {
            readError(plainBody.toString());
        }
        boolean isWhole = result.isSucceeded() && status == STATUS_OK && error.isEmpty() && (isDone || !isStream);
        String answerText = isStream ? text.toString() : plainBody.toString();
        answer.complete(
                new CallerAnswer(status, isWhole, answerText, tokens, firstTokenMicros, elapsedMicros(), error));
    }

    private void processLine() {
        String lineText = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (lineText.startsWith(DATA_PREFIX)) {
            isStream = true;
            processData(lineText.substring(DATA_PREFIX.length()));
        } else {
            plainBody.append(lineText);
        }
    }

    private void processData(String data) {
        if (END_OF_STREAM.equals(data)) {
            isDone = true;
            return;
        }
        JsonNode event = parse(data);
        if (event.has("error")) {
            readError(data);
            return;
        }
        if (firstTokenMicros.isEmpty()) {
            firstTokenMicros = OptionalLong.of(elapsedMicros());
        }
        tokens += event.path("units").asLong();
        text.append(event.path("choices").path(0).path("text").asText());
    }

    private void readError(String body) {
        JsonNode node = parse(body).path("error");
        if (node.isObject()) {
            error = Optional.of(new CallerAnswer.Error(
                    node.path("code").asText(),
                    node.path("execution").asText(),
                    node.path("retry_after_millis").asLong()));
        }
    }

    private long elapsedMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentNanos);
    }

    private static JsonNode parse(String body) {
        try {
            return Json.MAPPER.readTree(body);
        } catch (JsonProcessingException failure) {
            return Json.MAPPER.createObjectNode();
        }
    }
}
