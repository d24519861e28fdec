package io.waxwingquay.side;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.engine.ModelEngine;
import io.waxwingquay.engine.ModelEngine.Order;
import io.waxwingquay.engine.ModelEngine.OrderAnswer;
import io.waxwingquay.engine.ModelEngine.OrderKind;
import io.waxwingquay.engine.TargetException;
import io.waxwingquay.ledger.MemoryLedger;
import io.waxwingquay.ledger.MemoryLedger.Holding;
import io.waxwingquay.ledger.MemoryLedger.Observation;
import io.waxwingquay.ledger.MemoryLedger.Snapshot;
import io.waxwingquay.ledger.MemoryLedger.State;
import io.waxwingquay.permit.Permits;
import io.waxwingquay.permit.Permits.Limit;
import io.waxwingquay.permit.Permits.Permit;
import io.waxwingquay.side.ResidencyPlan.Load;
import io.waxwingquay.side.WantedItems.Wanted;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The order loop: brings the engine's memory towards what placement wants, one report at a time. All orders
 * to the engine come from here. Safe for concurrent use.
 */
public final class Residency {

    private static final System.Logger LOG = System.getLogger("waxwingquay.side");
    private static final String MOVES = "waxwingquay.side.moves";

    private final SideContext context;
    private final ModelEngine engine;
    private final MemoryLedger ledger;
    private final Permits permits;
    private final WantedItems wantedItems;
    private final Runnable superseded;
    private final AdapterQueue adapters;
    private final Map<String, Permit> heldPermits = new HashMap<>();
    private final Map<String, Long> sentMillis = new HashMap<>();
    private final Map<String, Long> usedMillis = new HashMap<>();
    private Optional<CompletableFuture<Void>> running = Optional.empty();
    private Optional<Long> lastTickMillis = Optional.empty();
    private Optional<Long> readMillis = Optional.empty();
    private Set<String> asking = new java.util.HashSet<>();
    private List<String> refused = List.of();
    private long orderCount;
    private boolean retired;

    Residency(
            SideContext context,
            ModelEngine engine,
            MemoryLedger ledger,
            Permits permits,
            WantedItems wantedItems,
            Runnable superseded) {
        this.context = context;
        this.engine = engine;
        this.ledger = ledger;
        this.permits = permits;
        this.wantedItems = wantedItems;
        this.superseded = superseded;
        this.adapters = new AdapterQueue(ledger);
    }

    /**
     * Reads the engine once and orders what is due. A run that is still going on is returned instead.
     *
     * @return completes when the engine was read and the orders were sent; never fails.
     */
    public CompletableFuture<Void> tick() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        boolean paused;
        synchronized (this) {
            paused = notePause();
            if (running.isPresent()) {
                return running.get();
            }
            running = Optional.of(done);
        }
        long askedMillis = context.clock().monotonicMillis();
        long waitMillis = context.limits().pauseLimitMillis();
        engine.residency().orTimeout(waitMillis, TimeUnit.MILLISECONDS).whenComplete((report, failure) -> {
            try {
                if (failure == null) {
                    observe(report, askedMillis, paused);
                }
            } catch (RuntimeException unexpected) {
                LOG.log(System.Logger.Level.ERROR, "side: order loop failed, retrying", unexpected);
            } finally {
                endTick(done);
            }
        });
        return done;
    }

    /**
     * Gets an adapter into memory for one request and pins it there.
     *
     * @param item the adapter's item name.
     * @return completes when it is resident and pinned once; cancel it to stop waiting.
     */
    public CompletableFuture<Void> pinAdapter(String item) {
        synchronized (this) {
            usedMillis.put(item, context.clock().monotonicMillis());
        }
        return adapters.pin(item);
    }

    /**
     * Whether a request waits for an adapter, so that the loop should run soon.
     *
     * @return whether one waits.
     */
    public boolean isAdapterAwaited() {
        return !adapters.awaited().isEmpty();
    }

    /**
     * Wanted items for which no room could be made at the last run.
     *
     * @return the items.
     */
    public synchronized List<String> refused() {
        return refused;
    }

    /** When the engine was last asked for a report that came, in monotonic milliseconds. */
    synchronized Optional<Long> readMillis() {
        return readMillis;
    }

    /** Never orders again. */
    synchronized void retire() {
        retired = true;
    }

    synchronized void noteUsed(String item) {
        usedMillis.put(item, context.clock().monotonicMillis());
    }

    /**
     * A process that was paused may have been replaced meanwhile without knowing. Its orders would fill memory
     * that its successor has reserved. After a gap the memory counts as unknown again for a quarantine, in
     * which membership or the engine's open orders show the successor; only an order already handed to the
     * kernel before the pause escapes this.
     */
    private boolean notePause() {
        long nowMillis = context.clock().monotonicMillis();
        boolean paused = lastTickMillis
                .filter(last -> nowMillis - last > context.limits().pauseLimitMillis())
                .isPresent();
        lastTickMillis = Optional.of(nowMillis);
        if (paused) {
            LOG.log(System.Logger.Level.WARNING, "side: paused, holding orders back");
            context.count("waxwingquay.side.pauses", "side", context.identity().sideId());
            ledger.quarantine();
        }
        return paused;
    }

    private synchronized void endTick(CompletableFuture<Void> done) {
        running = Optional.empty();
        done.completeAsync(() -> null);
    }

    private void observe(ModelEngine.Residency report, long askedMillis, boolean paused) {
        Observation observation = ledger.observe(report);
        synchronized (this) {
            readMillis = Optional.of(askedMillis);
        }
        noteAlarms(observation);
        settlePermits();
        adapters.settle();
        if (isSuperseded(report)) {
            stepDown("a later process of this name gives orders");
        }
        boolean stale = context.clock().monotonicMillis() - askedMillis
                > context.limits().pauseLimitMillis();
        if (!paused && !stale && !isRetired()) {
            context.bundles().current().ifPresent(bundle -> act(bundle, report));
        }
    }

    private void noteAlarms(Observation observation) {
        if (observation.surplusBytes() > 0L) {
            context.count(
                    "waxwingquay.side.overcommits", "side", context.identity().sideId());
            LOG.log(System.Logger.Level.ERROR, "side: memory overcommitted, evicting " + observation.surplusBytes());
        }
        observation.adopted().forEach(item -> LOG.log(System.Logger.Level.WARNING, "side: adopted item {0}", item));
        observation.vanished().forEach(item -> LOG.log(System.Logger.Level.WARNING, "side: item {0} is gone", item));
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
        LOG.log(System.Logger.Level.ERROR, "side: stepping down, {0}", cause);
        superseded.run();
    }

    private void act(Bundle bundle, ModelEngine.Residency report) {
        Snapshot snapshot = ledger.snapshot();
        if (!snapshot.quarantined()) {
            resend(report);
        }
        Wanted wanted = wantedItems.wanted(bundle);
        ResidencyPlan plan = ResidencyPlan.decide(
                snapshot, wanted, adapters.awaited(), item -> sizeBytes(bundle, item), this::lastUsed);
        noteRefused(plan.refused());
        plan.evictions().forEach(this::evict);
        plan.loads().forEach(this::load);
    }

    private synchronized long lastUsed(String item) {
        return usedMillis.getOrDefault(item, Long.MIN_VALUE);
    }

    private synchronized void noteRefused(List<String> items) {
        items.stream()
                .filter(item -> !refused.contains(item))
                .forEach(item -> LOG.log(System.Logger.Level.WARNING, "side: no room for {0}", item));
        refused = items;
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

    private void evict(String item) {
        String orderId = nextOrderId();
        if (ledger.evict(item, orderId)) {
            countMove(OrderKind.EVICT, item);
            Holding holding = ledger.snapshot().holdings().get(item);
            send(new Order(
                    orderId,
                    OrderKind.EVICT,
                    item,
                    holding.sizeBytes(),
                    context.identity().epoch()));
        }
    }

    private void load(Load load) {
        synchronized (this) {
            if (!asking.add(load.item())) {
                return;
            }
        }
        Limit limit = ResidencyPlan.isAdapter(load.item()) ? Limit.ADAPTER_LOADS : Limit.WEIGHT_LOADS;
        permits.acquire(limit).whenComplete((permit, failure) -> {
            synchronized (this) {
                asking.remove(load.item());
            }
            if (failure == null) {
                permit.ifPresent(granted -> loadWith(granted, load));
            }
        });
    }

    private void loadWith(Permit permit, Load load) {
        String orderId = nextOrderId();
        if (isRetired() || !ledger.reserve(load.item(), load.sizeBytes(), orderId)) {
            permit.close();
            return;
        }
        synchronized (this) {
            heldPermits.put(load.item(), permit);
        }
        countMove(OrderKind.LOAD, load.item());
        send(new Order(
                orderId,
                OrderKind.LOAD,
                load.item(),
                load.sizeBytes(),
                context.identity().epoch()));
    }

    /**
     * An order can be lost, and the loss cannot be told from a delay. Sent again under a new id, both could
     * take effect; under the same id the engine takes it once, however often and late it lands.
     */
    private void resend(ModelEngine.Residency report) {
        Set<String> open = report.openOrders().stream().map(Order::id).collect(Collectors.toSet());
        long dueMillis = context.clock().monotonicMillis() - context.limits().resendMillis();
        ledger.snapshot().holdings().values().stream()
                .filter(holding -> holding.state() != State.RESIDENT)
                .filter(holding -> !open.contains(holding.orderId()))
                .filter(holding -> lastSent(holding.orderId()) <= dueMillis)
                .forEach(this::resend);
    }

    private void resend(Holding holding) {
        OrderKind kind = holding.awaitsLoad() ? OrderKind.LOAD : OrderKind.EVICT;
        context.count("waxwingquay.side.orders.resent", "kind", kind.name());
        send(new Order(
                holding.orderId(),
                kind,
                holding.item(),
                holding.sizeBytes(),
                context.identity().epoch()));
    }

    private synchronized long lastSent(String orderId) {
        return sentMillis.getOrDefault(orderId, Long.MIN_VALUE);
    }

    private void send(Order order) {
        synchronized (this) {
            sentMillis.put(order.id(), context.clock().monotonicMillis());
        }
        engine.order(order).whenComplete((answer, failure) -> {
            if (failure != null && !isUnreachable(failure)) {
                ledger.noteLost();
            }
            if (answer == OrderAnswer.STALE_FENCE) {
                stepDown("the engine has seen a higher fencing number");
            }
        });
    }

    private static boolean isUnreachable(Throwable failure) {
        return failure instanceof TargetException target && target.kind() == TargetException.Kind.UNREACHABLE;
    }

    private synchronized void settlePermits() {
        Map<String, Holding> holdings = ledger.snapshot().holdings();
        List<String> landed = heldPermits.keySet().stream()
                .filter(item ->
                        !holdings.containsKey(item) || !holdings.get(item).awaitsLoad())
                .toList();
        landed.forEach(item -> heldPermits.remove(item).close());
        Set<String> live = holdings.values().stream().map(Holding::orderId).collect(Collectors.toSet());
        sentMillis.keySet().retainAll(live);
        usedMillis.keySet().retainAll(holdings.keySet());
    }

    private synchronized String nextOrderId() {
        orderCount++;
        return context.identity().sideId() + "-" + context.identity().epoch() + "-" + orderCount;
    }

    private void countMove(OrderKind kind, String item) {
        String what = ResidencyPlan.isAdapter(item) ? "adapter" : "model";
        context.meters()
                .counter(MOVES, "kind", kind.name().toLowerCase(java.util.Locale.ROOT), "item", what)
                .increment();
    }
}
