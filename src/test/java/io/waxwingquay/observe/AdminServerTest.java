package io.waxwingquay.observe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.BundleSource;
import io.waxwingquay.common.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AdminServerTest {

    /** The server closes and replies on two threads, and the close comes first only in some rounds. */
    private static final int SHUTDOWN_ROUNDS = 40;

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final HttpClient client = new HttpClient();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private final AtomicInteger drains = new AtomicInteger();
    private volatile Optional<String> notReady = Optional.of("no bundle yet");
    private AdminServer server;

    @BeforeEach
    void start() throws Exception {
        client.start();
        StateDump dump = new StateDump().section("process", () -> new Process("side-1", "s3cret"));
        server = AdminServer.builder(registry, dump)
                .notReady(() -> notReady)
                .drain(() -> {
                    drains.incrementAndGet();
                    drained.complete(null);
                })
                .start();
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        client.stop();
        registry.close();
    }

    // An operator asks an idle process to drain. It has nothing to wait for and closes at once, while the reply is
    // still being written. The connection would end without a reply, and the operator could not tell whether the
    // process drains.
    @Test
    void answersShutdownBeforeTheServerCloses() throws Exception {
        for (int number = 0; number < SHUTDOWN_ROUNDS; number++) {
            CompletableFuture<AdminServer> started = new CompletableFuture<>();
            try (AdminServer closing = AdminServer.builder(registry, new StateDump())
                    .drain(() -> started.join().close())
                    .start()) {
                started.complete(closing);
                assertEquals(202, post(closing.port()));
            }
        }
    }

    private int post(int port) throws Exception {
        return client.POST("http://127.0.0.1:" + port + "/shutdown").send().getStatus();
    }

    @Test
    void exposesMetersInThePrometheusFormat() throws Exception {
        AtomicLong nowMillis = new AtomicLong(1_000);
        ProcessMeters meters = new ProcessMeters(registry, new FixedClock(nowMillis));
        SettableBundleSource bundles = new SettableBundleSource();
        meters.registerBundle(bundles);
        bundles.adopt(7);
        nowMillis.addAndGet(2_500);
        meters.countCall("gossip", 120, 80);
        meters.countCall("poll", 40, 0);
        String text = get("/metrics").getContentAsString();
        assertTrue(text.contains("waxwingquay_bundle_version 7.0"), text);
        assertTrue(text.contains("waxwingquay_bundle_age_seconds 2.5"), text);
        assertTrue(text.contains("waxwingquay_control_bytes_total{direction=\"out\",kind=\"gossip\"} 120.0"), text);
        assertTrue(text.contains("waxwingquay_control_bytes_total{direction=\"in\",kind=\"gossip\"} 80.0"), text);
        assertTrue(text.contains("waxwingquay_data_messages_total{direction=\"out\",kind=\"poll\"} 1.0"), text);
        assertTrue(text.contains("waxwingquay_data_messages_total{direction=\"in\",kind=\"poll\"} 0.0"), text);
        assertFalse(text.contains("waxwingquay_control_bytes_total{direction=\"out\",kind=\"poll\"}"), text);
        assertTrue(text.contains("process_cpu_time_ns_total"), text);
        assertTrue(text.contains("jvm_memory_used_bytes"), text);
    }

    @Test
    void dumpsStateWithoutSecrets() throws Exception {
        String text = get("/dump").getContentAsString();
        assertTrue(text.contains("\"name\" : \"side-1\""), text);
        assertEquals(-1, text.indexOf("s3cret"));
    }

    @Test
    void reportsReadinessSeparatelyFromHealth() throws Exception {
        assertEquals(200, get("/healthz").getStatus());
        assertEquals(503, get("/readyz").getStatus());
        assertEquals("not ready: no bundle yet\n", get("/readyz").getContentAsString());
        notReady = Optional.empty();
        assertEquals(200, get("/readyz").getStatus());
    }

    // A browser or a scraper that requests all pages must not drain the process, and an operator who asks twice must
    // not start a second drain.
    @Test
    void onlyPostStartsOneDrain() throws Exception {
        assertEquals(405, get("/shutdown").getStatus());
        assertEquals(0, drains.get());
        assertEquals(202, client.POST(url("/shutdown")).send().getStatus());
        assertEquals(202, client.POST(url("/shutdown")).send().getStatus());
        drained.get(30, TimeUnit.SECONDS);
        assertEquals(1, drains.get());
    }

    @Test
    void unknownPageIsNotFound() throws Exception {
        assertEquals(404, get("/nothing").getStatus());
    }

    private ContentResponse get(String path) throws Exception {
        return client.GET(url(path));
    }

    private String url(String path) {
        return "http://127.0.0.1:" + server.port() + path;
    }

    private record Process(String name, String privateKey) {}

    private record FixedClock(AtomicLong nowMillis) implements Clock {
        @Override
        public long monotonicMillis() {
            return nowMillis.get();
        }

        @Override
        public long epochMillis() {
            return nowMillis.get();
        }
    }

    private static final class SettableBundleSource implements BundleSource {

        private final List<Consumer<Bundle>> listeners = new ArrayList<>();
        private Optional<Bundle> current = Optional.empty();

        void adopt(long version) {
            Bundle.Keys keys = new Bundle.Keys(List.of(), List.of());
            current = Optional.of(new Bundle(version, keys, List.of(), List.of(), List.of(), List.of()));
            listeners.forEach(listener -> listener.accept(current.get()));
        }

        @Override
        public Optional<Bundle> current() {
            return current;
        }

        @Override
        public void onAdopted(Consumer<Bundle> listener) {
            listeners.add(listener);
        }
    }
}
