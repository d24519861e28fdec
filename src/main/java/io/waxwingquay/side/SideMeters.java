package io.waxwingquay.side;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.waxwingquay.ledger.MemoryLedger;
import io.waxwingquay.ledger.MemoryLedger.Snapshot;
import io.waxwingquay.ledger.MemoryLedger.State;
import io.waxwingquay.transport.generated.RefusalReason;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Registers the metrics of a side process when it is built. A counter that first appears with its first event hides
 * that event from rates, so all counters start at 0. {@code docs/METRICS.md} lists the names.
 */
final class SideMeters {

    private static final List<String> MODEL_COUNTERS = List.of("crashes", "streams.silent", "pauses", "overcommits");
    private static final String PREFIX = "waxwingquay.side.";

    private final MeterRegistry registry;
    private final String sideId;

    SideMeters(MeterRegistry registry, String sideId) {
        this.registry = registry;
        this.sideId = sideId;
    }

    /** Registers the metrics of every side. */
    void registerCommon() {
        for (RefusalReason reason : RefusalReason.values()) {
            registry.counter(PREFIX + "refusals", "reason", reason.name());
        }
        registry.counter(PREFIX + "abandoned", "side", sideId);
    }

    /** Registers the additional metrics of a side whose target is a model engine. */
    void registerModel(MemoryLedger ledger) {
        MODEL_COUNTERS.forEach(event -> registry.counter(PREFIX + event, "side", sideId));
        for (String kind : List.of("load", "evict")) {
            registry.counter(PREFIX + "orders.resent", "kind", kind.toUpperCase(Locale.ROOT));
            List.of("model", "adapter").forEach(item -> registry.counter(PREFIX + "moves", "kind", kind, "item", item));
        }
        registerMemoryGauge(ledger, "counted", Snapshot::countedBytes);
        registerMemoryGauge(ledger, "capacity", Snapshot::capacityBytes);
        for (State state : EnumSet.complementOf(EnumSet.of(State.ABSENT))) {
            Gauge.builder(PREFIX + "memory.items", ledger, found -> countItems(found, state))
                    .tag("state", state.name())
                    .strongReference(true)
                    .register(registry);
        }
        Gauge.builder(
                        PREFIX + "memory.quarantined",
                        ledger,
                        found -> found.snapshot().quarantined() ? 1 : 0)
                .strongReference(true)
                .register(registry);
    }

    private void registerMemoryGauge(MemoryLedger ledger, String name, ToDoubleFunction<Snapshot> value) {
        Gauge.builder(PREFIX + "memory." + name, ledger, found -> value.applyAsDouble(found.snapshot()))
                .baseUnit("bytes")
                .strongReference(true)
                .register(registry);
    }

    private static double countItems(MemoryLedger ledger, State state) {
        return ledger.snapshot().holdings().values().stream()
                .filter(holding -> holding.state() == state)
                .count();
    }
}
