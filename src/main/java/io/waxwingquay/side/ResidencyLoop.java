package io.waxwingquay.side;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.engine.ModelEngine;
import io.waxwingquay.ledger.MemoryLedger;
import io.waxwingquay.ledger.MemoryLedger.Observation;
import io.waxwingquay.ledger.MemoryLedger.Snapshot;
import io.waxwingquay.permit.Permits;
import io.waxwingquay.side.WantedItems.Wanted;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The order loop, which reconciles the engine's memory with what placement wants, one report at a time. All orders to
 * the engine originate here. Safe for concurrent use.
 */
public final class ResidencyLoop {

    private static final System.Logger LOG = System.getLogger("waxwingquay.side");

    private final SideContext context;
    private final ModelEngine engine;
    private final MemoryLedger ledger;
    private final WantedItems wantedItems;
    private final Runnable onSuperseded;
    private final AdapterQueue adapterQueue;
    private final OrderSender orderSender;
    private final Map<String, Long> lastUsedMillis = new HashMap<>();
    private Optional<CompletableFuture<Void>> currentTick = Optional.empty();
    private Optional<Long> lastTickMillis = Optional.empty();
    private Optional<Long> lastReadMillis = Optional.empty();
    private List<String> unplaceableItems = List.of();
    private boolean retired;

    ResidencyLoop(
            SideContext context,
            ModelEngine engine,
            MemoryLedger ledger,
            Permits permits,
            WantedItems wantedItems,
            Runnable onSuperseded) {
        this.context = context;
        this.engine = engine;
        this.ledger = ledger;
        this.wantedItems = wantedItems;
        this.onSuperseded = onSuperseded;
        this.adapterQueue = new AdapterQueue(ledger);
        this.orderSender = new OrderSender(
                context,
                engine,
                ledger,
                permits,
                this::isRetired,
                () -> stepDown("the engine has seen a higher fencing number"));
    }

    /**
     * Reads the engine's memory once and sends the orders that are due. If a previous tick is still running, that one
     * is returned instead.
     *
     * @return completes when the memory was read and the orders were sent; never fails.
     */
    public CompletableFuture<Void> tick() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        boolean paused;
        synchronized (this) {
            paused = detectPause();
            if (currentTick.isPresent()) {
                return currentTick.get();
            }
            currentTick = Optional.of(done);
        }
        read(done, paused);
        return done;
    }

    private void read(CompletableFuture<Void> done, boolean paused) {
        long requestedMillis = context.clock().monotonicMillis();
        long waitMillis = context.limits().pauseLimitMillis();
        engine.residency().orTimeout(waitMillis, TimeUnit.MILLISECONDS).whenComplete((report, failure) -> {
            CompletableFuture<Boolean> mustReread = CompletableFuture.completedFuture(false);
            try {
                if (failure == null) {
                    mustReread = applyReport(report, requestedMillis, paused);
                }
            } catch (RuntimeException unexpected) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "side: the order loop failed; it runs again after its interval.",
                        unexpected);
            }
            mustReread.whenComplete((raised, orderFailure) -> {
                if (orderFailure == null && raised) {
                    read(done, paused);
                } else {
                    endTick(done);
                }
            });
        });
    }

    /**
     * Loads an adapter for one request and pins it in memory.
     *
     * @param item the adapter's item name.
     * @return completes when it is resident and pinned once; cancel it to stop waiting.
     */
    public CompletableFuture<Void> pinAdapter(String item) {
        synchronized (this) {
            lastUsedMillis.put(item, context.clock().monotonicMillis());
        }
        return adapterQueue.pin(item);
    }

    /**
     * Returns whether a request waits for an adapter, in which case the loop should run soon.
     *
     * @return whether a request waits.
     */
    public boolean isAwaitingAdapter() {
        return !adapterQueue.awaitedItems().isEmpty();
    }

    /**
     * Returns the wanted items for which the last tick could not make room.
     *
     * @return the item names.
     */
    public synchronized List<String> unplaceableItems() {
        return unplaceableItems;
    }

    /** Returns when the last report received from the engine was requested, in monotonic milliseconds. */
    synchronized Optional<Long> lastReadMillis() {
        return lastReadMillis;
    }

    /** Stops all further orders. */
    synchronized void retire() {
        retired = true;
    }

    synchronized void recordUse(String item) {
        lastUsedMillis.put(item, context.clock().monotonicMillis());
    }

    /**
     * Detects a gap between ticks. A process that was paused may have been replaced in the meantime without knowing,
     * and its orders would fill memory that its successor has reserved. Therefore, after a gap the memory counts as
     * unknown for a quarantine period, in which membership or the engine's open orders reveal the successor. Only an
     * order that was already handed to the kernel before the pause escapes this.
     */
    private boolean detectPause() {
        long nowMillis = context.clock().monotonicMillis();
        boolean paused = lastTickMillis
                .filter(last -> nowMillis - last > context.limits().pauseLimitMillis())
                .isPresent();
        lastTickMillis = Optional.of(nowMillis);
        if (paused) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "side: the process was paused; nothing is loaded for the quarantine period.");
            context.count("waxwingquay.side.pauses", "side", context.identity().sideId());
            ledger.quarantine();
        }
        return paused;
    }

    private synchronized void endTick(CompletableFuture<Void> done) {
        currentTick = Optional.empty();
        done.completeAsync(() -> null);
    }

    /**
     * Applies a report, and completes with whether the memory must be read again because the fence was raised after it.
     */
    private CompletableFuture<Boolean> applyReport(ModelEngine.Residency report, long requestedMillis, boolean paused) {
        Observation observation = ledger.observe(report);
        synchronized (this) {
            lastReadMillis = Optional.of(requestedMillis);
        }
        if (!isRetired()) {
            reportAnomalies(observation);
        }
        orderSender.releasePermits();
        pruneLastUsed();
        adapterQueue.completeResident();
        if (isSuperseded(report)) {
            stepDown("a later incarnation of this side exists");
        }
        boolean stale = context.clock().monotonicMillis() - requestedMillis
                > context.limits().pauseLimitMillis();
        if (paused || stale || isRetired()) {
            return CompletableFuture.completedFuture(false);
        }
        if (orderSender.mustRaiseFence(report.bootId())) {
            return orderSender.raiseFence(report.bootId());
        }
        context.bundles().current().ifPresent(bundle -> sendOrders(bundle, report));
        return CompletableFuture.completedFuture(false);
    }

    private void reportAnomalies(Observation observation) {
        if (observation.surplusBytes() > 0L) {
            context.count(
                    "waxwingquay.side.overcommits", "side", context.identity().sideId());
            LOG.log(
                    System.Logger.Level.ERROR,
                    "side: memory is overcommitted by " + observation.surplusBytes() + " bytes; evicting items.");
        }
        observation
                .adopted()
                .forEach(item -> LOG.log(
                        System.Logger.Level.WARNING, "side: adopted item {0}, which this side did not order.", item));
        observation
                .vanished()
                .forEach(item -> LOG.log(
                        System.Logger.Level.WARNING,
                        "side: item {0} left memory without an eviction by this side.",
                        item));
    }

    private boolean isSuperseded(ModelEngine.Residency report) {
        long epoch = context.identity().epoch();
        boolean byEngine = report.openOrders().stream().anyMatch(order -> order.fence() > epoch);
        return byEngine
                || context.membership()
                        .side(context.identity().sideId())
                        .filter(side -> side.epoch() > epoch)
                        .isPresent();
    }

    private synchronized boolean isRetired() {
        return retired;
    }

    private void stepDown(String cause) {
        synchronized (this) {
            if (retired) {
                return;
            }
            retired = true;
        }
        LOG.log(System.Logger.Level.ERROR, "side: stepping down: {0}.", cause);
        onSuperseded.run();
    }

    private void sendOrders(Bundle bundle, ModelEngine.Residency report) {
        Snapshot snapshot = ledger.snapshot();
        if (!snapshot.quarantined()) {
            orderSender.resend(report);
        }
        Wanted wanted = wantedItems.wanted(bundle);
        ResidencyPlan plan = ResidencyPlan.decide(
                snapshot, wanted, adapterQueue.awaitedItems(), item -> sizeBytes(bundle, item), this::lastUsedMillis);
        setUnplaceable(plan.unplaceable());
        plan.evictions().forEach(orderSender::evict);
        plan.loads().forEach(orderSender::load);
    }

    private synchronized long lastUsedMillis(String item) {
        return lastUsedMillis.getOrDefault(item, Long.MIN_VALUE);
    }

    private synchronized void pruneLastUsed() {
        lastUsedMillis.keySet().retainAll(ledger.snapshot().holdings().keySet());
    }

    private synchronized void setUnplaceable(List<String> items) {
        items.stream()
                .filter(item -> !unplaceableItems.contains(item))
                .forEach(item ->
                        LOG.log(System.Logger.Level.WARNING, "side: no room for item {0}; it is not loaded.", item));
        unplaceableItems = items;
    }

    private static OptionalLong sizeBytes(Bundle bundle, String item) {
        Stream<Long> models = bundle.models().stream()
                .filter(model -> model.item().equals(item))
                .map(Bundle.Model::sizeBytes);
        Stream<Long> adapters = bundle.adapters().stream()
                .filter(adapter -> adapter.item().equals(item))
                .map(Bundle.Adapter::sizeBytes);
        return Stream.concat(models, adapters).mapToLong(Long::longValue).findFirst();
    }
}
