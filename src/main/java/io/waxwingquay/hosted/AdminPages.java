package io.waxwingquay.hosted;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.forward.ForwardMetrics;
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

/** Metrics and the state dump of a process, for operators. */
final class AdminPages {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final Duration[] STEPS = {
        Duration.ofMillis(50),
        Duration.ofMillis(150),
        Duration.ofMillis(300),
        Duration.ofSeconds(1),
        Duration.ofSeconds(5)
    };

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private Supplier<String> dump = () -> "";
    private Function<String, Optional<byte[]>> copies = target -> Optional.empty();

    AdminPages(EventLoop loop, HostPort address) {
        HttpServer.listen(loop, new InetSocketAddress(address.host(), address.port()), this::answer);
    }

    void dump(Supplier<String> newDump) {
        dump = newDump;
    }

    /** Sets what answers other processes that read the platform's tables here. */
    void copies(Function<String, Optional<byte[]>> newCopies) {
        copies = newCopies;
    }

    ForwardMetrics forwardMeters() {
        return new Forwards();
    }

    private void answer(ServerExchange caller) {
        switch (caller.request().path()) {
            case "/metrics" -> caller.respond(OK, HttpFields.EMPTY, registry.scrape());
            case "/dump" -> caller.respond(OK, HttpFields.EMPTY, dump.get());
            default -> copies.apply(caller.request().target())
                    .ifPresentOrElse(
                            page -> caller.respond(OK, HttpFields.EMPTY, page),
                            () -> caller.respond(NOT_FOUND, HttpFields.EMPTY, "there are /metrics and /dump"));
        }
    }

    private final class Forwards implements ForwardMetrics {

        private final Map<Integer, Timer> byStatus = new HashMap<>();
        private final Counter unrouted = Counter.builder("forward.unrouted").register(registry);

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

        private Timer timer(int status) {
            return Timer.builder("forward.requests")
                    .tag("status", Integer.toString(status))
                    .serviceLevelObjectives(STEPS)
                    .register(registry);
        }
    }
}
