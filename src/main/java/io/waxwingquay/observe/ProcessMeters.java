package io.waxwingquay.observe;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.BundleSource;
import io.waxwingquay.common.Clock;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The meters that every process registers. {@code docs/METRICS.md} lists their names.
 */
public final class ProcessMeters {

    private static final List<String> DATA_METHODS = List.of("submit", "poll", "cancel", "resolve");
    private static final List<String> CONTROL_METHODS =
            List.of("gossip", "fetchBundle", "noteSuspects", "borrowPermit", "returnPermit", "ping");
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final MeterRegistry registry;
    private final Clock clock;

    /**
     * Registers meters of processor time, memory and the calls between processes.
     *
     * @param registry the registry of the meters.
     * @param clock the clock for the age of the bundle.
     */
    public ProcessMeters(MeterRegistry registry, Clock clock) {
        this.registry = registry;
        this.clock = clock;
        CONTROL_METHODS.forEach(method -> count(method, 0, 0, 0));
        DATA_METHODS.forEach(method -> count(method, 0, 0, 0));
        new ProcessorMetrics().bindTo(registry);
        new JvmMemoryMetrics().bindTo(registry);
    }

    /**
     * Registers gauges of the version of the bundle in force and of the time since this process adopted it.
     *
     * @param bundles provides the bundle in force.
     */
    public void registerBundle(BundleSource bundles) {
        AtomicLong adoptedAtMillis = new AtomicLong(clock.monotonicMillis());
        bundles.onAdopted(bundle -> adoptedAtMillis.set(clock.monotonicMillis()));
        Gauge.builder("waxwingquay.bundle.version", bundles, ProcessMeters::version)
                .description("version of the bundle in force, 0 while there is none")
                .strongReference(true)
                .register(registry);
        Gauge.builder("waxwingquay.bundle.age", adoptedAtMillis, this::ageSeconds)
                .description("time since the bundle in force was adopted, or since start while there is none")
                .baseUnit("seconds")
                .strongReference(true)
                .register(registry);
    }

    /**
     * Counts a finished call between processes at the process that made it: the request as {@code out} and the answer
     * as {@code in}. Thus each message counts once across all processes. Calls that carry a caller's requests count as
     * data, all others as control.
     *
     * @param method the called method.
     * @param writtenBytes the bytes written for the call.
     * @param readBytes the bytes read for the call; 0 if no answer came.
     */
    public void countCall(String method, long writtenBytes, long readBytes) {
        count(method, 1, writtenBytes, readBytes);
    }

    private void count(String method, int calls, long writtenBytes, long readBytes) {
        String name = DATA_METHODS.contains(method) ? "waxwingquay.data" : "waxwingquay.control";
        count(name, method, "out", calls, writtenBytes);
        count(name, method, "in", readBytes > 0 ? calls : 0, readBytes);
    }

    private void count(String name, String kind, String direction, int messages, long sizeBytes) {
        registry.counter(name + ".messages", "kind", kind, "direction", direction)
                .increment(messages);
        registry.counter(name + ".bytes", "kind", kind, "direction", direction).increment(sizeBytes);
    }

    private static double version(BundleSource bundles) {
        return bundles.current().map(Bundle::version).orElse(0L);
    }

    private double ageSeconds(AtomicLong adoptedAtMillis) {
        return (clock.monotonicMillis() - adoptedAtMillis.get()) / MILLIS_PER_SECOND;
    }
}
