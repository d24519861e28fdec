package io.waxwingquay.observe;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.BundleSource;
import io.waxwingquay.common.Clock;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What every process measures of itself. {@code docs/METRICS.md} lists the names.
 */
public final class ProcessMeters {

    private static final String CONTROL_MESSAGES = "waxwingquay.control.messages";
    private static final String CONTROL_BYTES = "waxwingquay.control.bytes";
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final MeterRegistry registry;
    private final Clock clock;

    /**
     * Registers processor time and memory.
     *
     * @param registry where the meters go.
     * @param clock the time.
     */
    public ProcessMeters(MeterRegistry registry, Clock clock) {
        this.registry = registry;
        this.clock = clock;
        new ProcessorMetrics().bindTo(registry);
        new JvmMemoryMetrics().bindTo(registry);
    }

    /**
     * Registers the version of the bundle in force and the time since this process adopted it.
     *
     * @param bundles the bundle in force.
     */
    public void watch(BundleSource bundles) {
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
     * Counts one control message, which is any message between processes that carries no caller's work.
     *
     * @param kind the kind of message, such as {@code gossip}; one of a fixed few.
     * @param direction whether it came or went.
     * @param sizeBytes its size on the wire.
     */
    public void countControl(String kind, Direction direction, long sizeBytes) {
        String way = direction.name().toLowerCase(Locale.ROOT);
        registry.counter(CONTROL_MESSAGES, "kind", kind, "direction", way).increment();
        registry.counter(CONTROL_BYTES, "kind", kind, "direction", way).increment(sizeBytes);
    }

    private static double version(BundleSource bundles) {
        return bundles.current().map(Bundle::version).orElse(0L);
    }

    private double ageSeconds(AtomicLong adoptedAtMillis) {
        return (clock.monotonicMillis() - adoptedAtMillis.get()) / MILLIS_PER_SECOND;
    }

    /** Which way a message went. */
    public enum Direction {
        /** It was received. */
        IN,
        /** It was sent. */
        OUT
    }
}
