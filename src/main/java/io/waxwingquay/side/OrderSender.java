package io.waxwingquay.side;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.engine.ModelEngine;
import io.waxwingquay.engine.ModelEngine.Order;
import io.waxwingquay.engine.ModelEngine.OrderAnswer;
import io.waxwingquay.engine.ModelEngine.OrderKind;
import io.waxwingquay.engine.TargetException;
import io.waxwingquay.ledger.MemoryLedger;
import io.waxwingquay.ledger.MemoryLedger.Holding;
import io.waxwingquay.ledger.MemoryLedger.State;
import io.waxwingquay.permit.Permits;
import io.waxwingquay.permit.Permits.Limit;
import io.waxwingquay.permit.Permits.Permit;
import io.waxwingquay.side.ResidencyPlan.Load;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/**
 * Sends load and evict orders to the engine, and resends lost ones. A load is sent only with a permit of the shared
 * limit and after its bytes were reserved in the ledger. Safe for concurrent use.
 */
final class OrderSender {

    private static final String FENCE_PREFIX = "fence:";
    private static final String MOVES_COUNTER = "waxwingquay.side.moves";

    private final SideContext context;
    private final ModelEngine engine;
    private final MemoryLedger ledger;
    private final Permits permits;
    private final BooleanSupplier retired;
    private final Runnable onStaleFence;
    private final Map<String, Permit> permitsByItem = new HashMap<>();
    private final Map<String, Long> lastSentMillis = new HashMap<>();
    private final Set<String> itemsAwaitingPermit = new HashSet<>();
    private Optional<String> fencedBootId = Optional.empty();
    private long orderCount;

    OrderSender(
            SideContext context,
            ModelEngine engine,
            MemoryLedger ledger,
            Permits permits,
            BooleanSupplier retired,
            Runnable onStaleFence) {
        this.context = context;
        this.engine = engine;
        this.ledger = ledger;
        this.permits = permits;
        this.retired = retired;
        this.onStaleFence = onStaleFence;
    }

    /**
     * Returns whether the engine may still accept orders of an earlier incarnation of this side. It rejects them only
     * once it has seen the fencing number of this one, which it may lose when it restarts.
     */
    synchronized boolean mustRaiseFence(String bootId) {
        boolean fenced = context.service().map(Bundle.Service::ordersFenced).orElse(false);
        return fenced && !fencedBootId.equals(Optional.of(bootId));
    }

    /**
     * Raises the engine's fence to this side's fencing number, with an order to evict an item that no engine holds.
     * Otherwise, a load order of the predecessor could arrive after this side has read the memory as empty and before
     * its own first load: both loads would run and overcommit the memory. Once the engine has accepted the fence, no
     * predecessor can change the memory that is read from then on. If the engine restarts in between, the boot ID of
     * the next report differs and the fence is raised again.
     *
     * @param bootId the boot ID of the engine's last report.
     * @return whether the engine accepted the fence.
     */
    CompletableFuture<Boolean> raiseFence(String bootId) {
        String item = FENCE_PREFIX + context.identity().sideId();
        Order order = new Order(
                nextOrderId(), OrderKind.EVICT, item, 0L, context.identity().epoch());
        return engine.order(order).thenApply(answer -> {
            if (answer == OrderAnswer.STALE_FENCE) {
                onStaleFence.run();
                return false;
            }
            synchronized (this) {
                fencedBootId = Optional.of(bootId);
            }
            return true;
        });
    }

    void evict(String item) {
        String orderId = nextOrderId();
        if (ledger.beginEviction(item, orderId)) {
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

    void load(Load load) {
        synchronized (this) {
            if (!itemsAwaitingPermit.add(load.item())) {
                return;
            }
        }
        Limit limit = ResidencyPlan.isAdapter(load.item()) ? Limit.ADAPTER_LOADS : Limit.WEIGHT_LOADS;
        permits.acquire(limit).whenComplete((permit, failure) -> {
            synchronized (this) {
                itemsAwaitingPermit.remove(load.item());
            }
            if (failure == null) {
                permit.ifPresent(granted -> loadWith(granted, load));
            }
        });
    }

    private void loadWith(Permit permit, Load load) {
        String orderId = nextOrderId();
        if (retired.getAsBoolean() || !ledger.reserve(load.item(), load.sizeBytes(), orderId)) {
            permit.close();
            return;
        }
        synchronized (this) {
            permitsByItem.put(load.item(), permit);
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
     * Resends orders that are neither open in the engine nor in effect after the resend interval. A lost order cannot
     * be distinguished from a delayed one. Under a new ID, both could take effect; under the same ID, the engine
     * accepts the order once, however often and late it arrives.
     */
    void resend(ModelEngine.Residency report) {
        Set<String> openOrderIds = report.openOrders().stream().map(Order::id).collect(Collectors.toSet());
        long sentBeforeMillis =
                context.clock().monotonicMillis() - context.limits().resendIntervalMillis();
        ledger.snapshot().holdings().values().stream()
                .filter(holding -> holding.state() != State.RESIDENT)
                .filter(holding -> !openOrderIds.contains(holding.orderId()))
                .filter(holding -> lastSentMillis(holding.orderId()) <= sentBeforeMillis)
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

    private synchronized long lastSentMillis(String orderId) {
        return lastSentMillis.getOrDefault(orderId, Long.MIN_VALUE);
    }

    private void send(Order order) {
        synchronized (this) {
            lastSentMillis.put(order.id(), context.clock().monotonicMillis());
        }
        engine.order(order).whenComplete((answer, failure) -> {
            if (failure != null && !isUnreachable(failure)) {
                ledger.recordLostAnswer();
            }
            if (answer == OrderAnswer.STALE_FENCE) {
                onStaleFence.run();
            }
        });
    }

    /** Releases the permits of loads that have finished. */
    synchronized void releasePermits() {
        Map<String, Holding> holdings = ledger.snapshot().holdings();
        List<String> finished = permitsByItem.keySet().stream()
                .filter(item ->
                        !holdings.containsKey(item) || !holdings.get(item).awaitsLoad())
                .toList();
        finished.forEach(item -> permitsByItem.remove(item).close());
        Set<String> latestOrderIds =
                holdings.values().stream().map(Holding::orderId).collect(Collectors.toSet());
        lastSentMillis.keySet().retainAll(latestOrderIds);
    }

    private static boolean isUnreachable(Throwable failure) {
        return failure instanceof TargetException target && target.kind() == TargetException.Kind.UNREACHABLE;
    }

    private synchronized String nextOrderId() {
        orderCount++;
        return context.identity().sideId() + "-" + context.identity().epoch() + "-" + orderCount;
    }

    private void countMove(OrderKind kind, String item) {
        String itemType = ResidencyPlan.isAdapter(item) ? "adapter" : "model";
        context.meters()
                .counter(MOVES_COUNTER, "kind", kind.name().toLowerCase(java.util.Locale.ROOT), "item", itemType)
                .increment();
    }
}
