package io.waxwingquay.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import io.waxwingquay.common.Json;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;

/**
 * An HTTP client of the entries, which sends requests and reads answers as an external caller does.
 */
public final class Caller implements AutoCloseable {

    private static final int MAX_CONNECTIONS = 4_096;
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000L;
    private static final String JSON = "application/json";
    private static final String DEADLINE_HEADER = "X-Deadline-Millis";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    private final HttpClient client = HttpCalls.startClient(MAX_CONNECTIONS, CONNECT_TIMEOUT_MILLIS);

    /**
     * Requests a streamed completion.
     *
     * @param entry address of the entry.
     * @param completion the requested completion.
     * @return a future of the answer; a failed request is an answer too, so the future never fails.
     */
    public CompletableFuture<CallerAnswer> complete(HostPort entry, Completion completion) {
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.put("model", completion.model());
        completion.adapter().ifPresent(adapter -> body.put("adapter", adapter));
        body.put("prompt", completion.prompt());
        body.put("max_tokens", completion.maxTokens());
        body.put("priority", completion.priority());
        body.put("stream", true);
        Request request = post(entry, "/v1/completions", toJson(body))
                .headers(headers -> headers.put(DEADLINE_HEADER, Long.toString(completion.deadlineMillis())));
        return AnswerReader.send(request);
    }

    /**
     * Calls an operation of a plain service.
     *
     * @param entry address of the entry.
     * @param call the call to make.
     * @return a future of the answer; a failed request is an answer too, so the future never fails.
     */
    public CompletableFuture<CallerAnswer> call(HostPort entry, ServiceCall call) {
        Request request = post(entry, "/v1/services/" + call.service() + "/" + call.operation(), call.body())
                .headers(headers -> {
                    headers.put(DEADLINE_HEADER, Long.toString(call.deadlineMillis()));
                    call.idempotencyKey().ifPresent(key -> headers.put(IDEMPOTENCY_KEY_HEADER, key));
                });
        return AnswerReader.send(request);
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("the caller's HTTP client did not stop", failure);
        }
    }

    private Request post(HostPort entry, String path, String body) {
        return client.newRequest("http://" + entry + path)
                .method(HttpMethod.POST)
                .body(new StringRequestContent(JSON, body));
    }

    private static String toJson(ObjectNode body) {
        try {
            return Json.MAPPER.writeValueAsString(body);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("the request cannot be written as JSON", failure);
        }
    }

    /**
     * A completion request.
     *
     * @param model the model.
     * @param adapter the adapter, if any.
     * @param prompt the prompt.
     * @param maxTokens the largest number of tokens to generate.
     * @param priority the priority.
     * @param deadlineMillis the deadline, counted from sending.
     */
    public record Completion(
            String model, Optional<String> adapter, String prompt, int maxTokens, int priority, long deadlineMillis) {}

    /**
     * A call of an operation of a plain service.
     *
     * @param service the service.
     * @param operation the operation.
     * @param idempotencyKey the idempotency key, if any.
     * @param body the JSON body.
     * @param deadlineMillis the deadline, counted from sending.
     */
    public record ServiceCall(
            String service, String operation, Optional<String> idempotencyKey, String body, long deadlineMillis) {}
}
