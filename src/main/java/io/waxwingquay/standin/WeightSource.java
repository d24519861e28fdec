package io.waxwingquay.standin;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;

/**
 * A source from which an engine loads weights and adapters.
 */
@FunctionalInterface
public interface WeightSource {

    /**
     * Loads an item.
     *
     * @param item the item's name.
     * @param bytes the item's size.
     * @return a future that completes when the item is loaded.
     */
    CompletableFuture<Void> load(String item, long bytes);

    /**
     * Returns a source that takes the same time for every item.
     *
     * @param timer the timer.
     * @param micros the duration of a load.
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
     * Returns a source that loads from a weight store over HTTP.
     *
     * @param client the shared, started HTTP client.
     * @param address the weight store's address.
     * @param timeoutMillis the timeout of one load.
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
