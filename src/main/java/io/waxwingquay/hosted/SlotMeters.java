package io.waxwingquay.hosted;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.waxwingquay.forward.SlotMetrics;
import java.time.Duration;

/** The meters of requests for slots. */
final class SlotMeters implements SlotMetrics {

    /** Buckets from the round trip between an entry and a side to the longest wait of relaxed requests. */
    private static final Duration[] WAIT_BUCKETS = {
        Duration.ofMillis(5),
        Duration.ofMillis(20),
        Duration.ofMillis(60),
        Duration.ofMillis(200),
        Duration.ofSeconds(1),
        Duration.ofSeconds(5)
    };

    private final Counter requested;
    private final Counter denied;
    private final Counter silent;
    private final Timer granted;

    SlotMeters(MeterRegistry registry) {
        this.requested = Counter.builder("forward.slots.requested").register(registry);
        this.denied = Counter.builder("forward.slots.denied").register(registry);
        this.silent = Counter.builder("forward.slots.silent").register(registry);
        this.granted = Timer.builder("forward.slots.granted")
                .serviceLevelObjectives(WAIT_BUCKETS)
                .register(registry);
    }

    /** {@inheritDoc} */
    @Override
    public void requested() {
        requested.increment();
    }

    /** {@inheritDoc} */
    @Override
    public void granted(long waitMillis) {
        granted.record(Duration.ofMillis(waitMillis));
    }

    /** {@inheritDoc} */
    @Override
    public void denied() {
        denied.increment();
    }

    /** {@inheritDoc} */
    @Override
    public void silent() {
        silent.increment();
    }
}
