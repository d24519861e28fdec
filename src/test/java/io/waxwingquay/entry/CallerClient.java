package io.waxwingquay.entry;

import com.fasterxml.jackson.databind.JsonNode;
import io.waxwingquay.common.Json;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

/** HTTP client in the role of a caller. */
final class CallerClient {

    static final String COMPLETION_BODY = "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":8}";
    static final String STREAMED_COMPLETION_BODY =
            "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":8,\"stream\":true}";

    private static final HttpClient HTTP = HttpClient.newHttpClient();

    private CallerClient() {}

    record Answer(int status, String body, HttpResponse<String> response) {

        String error(String field) {
            return json().at("/error/" + field).asText();
        }

        JsonNode json() {
            try {
                return Json.MAPPER.readTree(body);
            } catch (com.fasterxml.jackson.core.JsonProcessingException failure) {
                throw new AssertionError(body, failure);
            }
        }
    }

    static Answer complete(EntryNode node, String body, String... headers) {
        return send(node, "/v1/completions", body, headers).join();
    }

    static Answer deposit(EntryNode node, String key, String body) {
        return send(node, "/v1/services/pay/deposit", body, "Idempotency-Key", key)
                .join();
    }

    static CompletableFuture<Answer> send(EntryNode node, String path, String body, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + node.address() + path))
                .POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return HTTP.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> new Answer(response.statusCode(), response.body(), response));
    }

    static int get(EntryNode node, String path) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + node.address() + path))
                .build();
        return HTTP.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .join()
                .statusCode();
    }
}
