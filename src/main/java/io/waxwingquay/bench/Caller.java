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
 * A caller of the system, over HTTP as any caller would.
 */
public final class Caller implements AutoCloseable {

    private static final int MAX_CONNECTIONS = 4_096;
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000L;
    private static final String JSON = "application/json";
    private static final String DEADLINE_HEADER = "X-Deadline-Millis";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    private final HttpClient client = HttpCalls.startClient(MAX_CONNECTIONS, CONNECT_TIMEOUT_MILLIS);

    /**
     * Asks for a completion, streamed.
     *
     * @param entry which entry to ask.
     * @param completion what is asked.
     * @return what the caller saw; does not fail.
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
     * @param entry which entry to ask.
     * @param call what is asked.
     * @return what the caller saw; does not fail.
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
            throw new IllegalStateException("a request cannot be written as JSON", failure);
        }
    }

    /**
     * A completion to ask for.
     *
     * @param model the model.
     * @param adapter the adapter, if any.
     * @param prompt the prompt.
     * @param maxTokens the most tokens wanted.
     * @param priority the priority.
     * @param deadlineMillis the caller's deadline, from sending.
     */
    public record Completion(
            String model, Optional<String> adapter, String prompt, int maxTokens, int priority, long deadlineMillis) {}

    /**
     * A call to make.
     *
     * @param service the service.
     * @param operation the operation.
     * @param idempotencyKey the key, if any.
     * @param body the JSON body.
     * @param deadlineMillis the caller's deadline, from sending.
     */
    public record ServiceCall(
            String service, String operation, Optional<String> idempotencyKey, String body, long deadlineMillis) {}
}
