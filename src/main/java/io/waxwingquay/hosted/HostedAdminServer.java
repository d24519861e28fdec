package io.waxwingquay.hosted;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.waxwingquay.common.CallbackGuard;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.forward.ForwardMetrics;
import io.waxwingquay.forward.SlotMetrics;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.HttpServer;
import io.waxwingquay.net.ServerExchange;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpFields;

/** An HTTP server with the metrics, the state dump and the table copies of a process. */
final class HostedAdminServer {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(50),
        Duration.ofMillis(150),
        Duration.ofMillis(300),
        Duration.ofSeconds(1),
        Duration.ofSeconds(5)
    };

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private Supplier<String> dump = () -> "";
    private Function<String, Optional<byte[]>> tableCopies = target -> Optional.empty();

    HostedAdminServer(EventLoop loop, HostPort address) {
        FunctionCounter.builder("callbacks.failed", this, server -> CallbackGuard.failureCount())
                .register(registry);
        HttpServer.listen(loop, new InetSocketAddress(address.host(), address.port()), this::handle);
    }

    void dump(Supplier<String> newDump) {
        dump = newDump;
    }

    /** Sets the source of table copies, from which other processes read the platform's tables by request target. */
    void tableCopies(Function<String, Optional<byte[]>> newCopies) {
        tableCopies = newCopies;
    }

    /** Counts the connections that a server does not take. */
    void countRefusedConnections(HttpServer server) {
        FunctionCounter.builder("net.connections.refused", server, HttpServer::refusedCount)
                .register(registry);
    }

    ForwardMetrics forwardMeters() {
        return new PrometheusForwardMeters();
    }

    private void handle(ServerExchange exchange) {
        switch (exchange.request().path()) {
            case "/metrics" -> exchange.respond(OK, HttpFields.EMPTY, registry.scrape());
            case "/dump" -> exchange.respond(OK, HttpFields.EMPTY, dump.get());
            default -> tableCopies
                    .apply(exchange.request().target())
                    .ifPresentOrElse(
                            body -> exchange.respond(OK, HttpFields.EMPTY, body),
                            () -> exchange.respond(
                                    NOT_FOUND, HttpFields.EMPTY, "not found; the pages are /metrics and /dump"));
        }
    }

    private final class PrometheusForwardMeters implements ForwardMetrics {

        private final Map<Integer, Timer> byStatus = new HashMap<>();
        private final Counter unrouted = Counter.builder("forward.unrouted").register(registry);
        private final Counter unauthorized =
                Counter.builder("forward.unauthorized").register(registry);
        private final Counter overQuota = Counter.builder("forward.over.quota").register(registry);
        private final Counter silent = Counter.builder("forward.silent").register(registry);
        private final Counter silentReturned =
                Counter.builder("forward.silent.returned").register(registry);
        private final SlotMetrics slots = new SlotMeters(registry);

        /** {@inheritDoc} */
        @Override
        public void ended(int status, long tookMillis) {
            byStatus.computeIfAbsent(status, this::timer).record(Duration.ofMillis(tookMillis));
        }

        /** {@inheritDoc} */
        @Override
        public void unrouted() {
            unrouted.increment();
        }

        /** {@inheritDoc} */
        @Override
        public void unauthorized() {
            unauthorized.increment();
        }

        /** {@inheritDoc} */
        @Override
        public void overQuota() {
            overQuota.increment();
        }

        /** {@inheritDoc} */
        @Override
        public void silentReplica() {
            silent.increment();
        }

        /** {@inheritDoc} */
        @Override
        public void returnedToSilentReplica() {
            silentReturned.increment();
        }

        /** {@inheritDoc} */
        @Override
        public void crashSuspected(String phase) {
            registry.counter("forward.crashes.suspected", "phase", phase).increment();
        }

        /** {@inheritDoc} */
        @Override
        public void resumedByCaller(String source) {
            registry.counter("forward.resumed.by.caller", "stated_by", source).increment();
        }

        /** {@inheritDoc} */
        @Override
        public SlotMetrics slots() {
            return slots;
        }

        private Timer timer(int status) {
            return Timer.builder("forward.requests")
                    .tag("status", Integer.toString(status))
                    .serviceLevelObjectives(LATENCY_BUCKETS)
                    .register(registry);
        }
    }
}
