package io.waxwingquay.standin;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Where an engine gets weights and adapters from.
 */
@FunctionalInterface
public interface WeightSource {

    /**
     * Loads an item.
     *
     * @param item the item's name.
     * @param bytes the item's size.
     * @return completes when it is loaded.
     */
    CompletableFuture<Void> load(String item, long bytes);

    /**
     * A source that takes the same time for every item.
     *
     * @param timer the timer.
     * @param micros the time.
     * @return the source.
     */
    static WeightSource withFixedLatency(StandinTimer timer, long micros) {
        return (item, bytes) -> {
            CompletableFuture<Void> done = new CompletableFuture<>();
            timer.schedule(micros, () -> done.complete(null));
            return done;
        };
    }

    /**
     * A weight store over HTTP.
     *
     * @param client the shared, started HTTP client.
     * @param address the weight store's address.
     * @param timeoutMillis the most time one load may take.
     * @return the source.
     */
    static WeightSource http(HttpClient client, HostPort address, long timeoutMillis) {
        return (item, bytes) -> HttpCalls.send(
                        HttpCalls.json(
                                client.newRequest("http://" + address + "/loads")
                                        .method(HttpMethod.POST),
                                new WeightStoreStandin.LoadRequest(item, bytes)),
                        timeoutMillis)
                .thenAccept(WeightSource::requireSuccess);
    }

    private static void requireSuccess(HttpCalls.Reply reply) {
        if (reply.statusCode() != StandinReply.NO_CONTENT) {
            throw new IllegalStateException("weight store answered with status " + reply.statusCode());
        }
    }
}
