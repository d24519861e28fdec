package io.waxwingquay.standin;

import io.waxwingquay.engine.ModelEngine.Order;
import io.waxwingquay.engine.ModelEngine.OrderAnswer;
import io.waxwingquay.engine.ModelEngine.OrderKind;
import io.waxwingquay.engine.ModelEngine.Residency;
import io.waxwingquay.engine.ModelEngine.Resident;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.function.Consumer;

/**
 * An engine's accelerator memory and its orders. It obeys every order and only records when they ask too much.
 */
public final class EngineMemory {

    private static final String ADAPTER_PREFIX = "adapter:";

    private final StandinTimer timer;
    private final long capacityBytes;
    private final boolean fenced;
    private final long evictMicros;
    private final WeightSource weights;
    private final Consumer<String> evicted;
    private final Map<String, Long> residents = new LinkedHashMap<>();
    private final Map<String, Long> loading = new HashMap<>();
    private final Map<String, Order> open = new LinkedHashMap<>();
    private final Set<String> seen = new HashSet<>();
    private String bootId = UUID.randomUUID().toString();
    private long newestFence;
    private long maxUsedBytes;
    private long overcommits;
    private long loads;
    private long evictions;
    private long adapterLoads;
    private long adapterEvictions;
    private long failedLoads;
    private long staleOrders;
    private int maxLoading;

    EngineMemory(
            StandinTimer timer,
            long capacityBytes,
            boolean fenced,
            long evictMicros,
            WeightSource weights,
            Consumer<String> evicted) {
        this.timer = timer;
        this.capacityBytes = capacityBytes;
        this.fenced = fenced;
        this.evictMicros = evictMicros;
        this.weights = weights;
        this.evicted = evicted;
    }

    synchronized OrderAnswer take(Order order) {
        if (fenced && order.fence() < newestFence) {
            staleOrders++;
            return OrderAnswer.STALE_FENCE;
        }
        newestFence = Math.max(newestFence, order.fence());
        if (!seen.add(order.id())) {
            return OrderAnswer.TAKEN;
        }
        open.put(order.id(), order);
        if (order.kind() == OrderKind.LOAD) {
            load(order);
        } else {
            evict(order);
        }
        return OrderAnswer.TAKEN;
    }

    synchronized boolean holds(String item) {
        return residents.containsKey(item);
    }

    synchronized Residency residency() {
        List<Resident> held = residents.entrySet().stream()
                .map(entry -> new Resident(entry.getKey(), entry.getValue()))
                .toList();
        return new Residency(bootId, capacityBytes, held, List.copyOf(open.values()));
    }

    synchronized void reset() {
        bootId = UUID.randomUUID().toString();
        residents.clear();
        loading.clear();
        open.clear();
        seen.clear();
    }

    /** Puts an item into memory at once, as it is after an engine that started with it. */
    synchronized void preload(String item, long bytes) {
        residents.put(item, bytes);
        recordUse();
    }

    synchronized Stats stats() {
        return new Stats(
                capacityBytes,
                usedBytes(),
                maxUsedBytes,
                overcommits,
                loads,
                evictions,
                failedLoads,
                staleOrders,
                maxLoading,
                adapterLoads,
                adapterEvictions);
    }

    private void load(Order order) {
        if (residents.containsKey(order.item())) {
            open.remove(order.id());
            return;
        }
        loading.put(order.item(), order.bytes());
        maxLoading = Math.max(maxLoading, loading.size());
        recordUse();
        String boot = bootId;
        weights.load(order.item(), order.bytes()).whenComplete((done, failure) -> loaded(boot, order, failure));
    }

    private synchronized void loaded(String boot, Order order, Throwable failure) {
        if (!boot.equals(bootId)) {
            return;
        }
        open.remove(order.id());
        Long bytes = loading.remove(order.item());
        if (failure != null) {
            failedLoads++;
        } else if (bytes != null) {
            loads++;
            adapterLoads += isAdapter(order.item()) ? 1 : 0;
            residents.put(order.item(), bytes);
        }
        recordUse();
    }

    private void evict(Order order) {
        String boot = bootId;
        timer.schedule(evictMicros, () -> evictNow(boot, order));
    }

    private void evictNow(String boot, Order order) {
        synchronized (this) {
            if (!boot.equals(bootId)) {
                return;
            }
            open.remove(order.id());
            if (residents.remove(order.item()) == null) {
                return;
            }
            evictions++;
            adapterEvictions += isAdapter(order.item()) ? 1 : 0;
        }
        evicted.accept(order.item());
    }

    private static boolean isAdapter(String item) {
        return item.startsWith(ADAPTER_PREFIX);
    }

    private long usedBytes() {
        long loadingBytes = loading.entrySet().stream()
                .filter(entry -> !residents.containsKey(entry.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
        return loadingBytes
                + residents.values().stream().mapToLong(Long::longValue).sum();
    }

    private void recordUse() {
        long usedBytes = usedBytes();
        maxUsedBytes = Math.max(maxUsedBytes, usedBytes);
        if (usedBytes > capacityBytes) {
            overcommits++;
        }
    }

    /**
     * The recorded counts.
     *
     * @param capacityBytes the accelerator memory.
     * @param usedBytes what residents and running loads take.
     * @param maxUsedBytes the most they ever took.
     * @param overcommits instants at which they took more than there is.
     * @param loads loads done.
     * @param evictions evictions done.
     * @param failedLoads loads that the weight store failed.
     * @param staleOrders orders refused for their fencing number.
     * @param maxLoading the most loads in flight at once.
     * @param adapterLoads loads of adapters, also among all loads.
     * @param adapterEvictions evictions of adapters, also among all evictions.
     */
    public record Stats(
            long capacityBytes,
            long usedBytes,
            long maxUsedBytes,
            long overcommits,
            long loads,
            long evictions,
            long failedLoads,
            long staleOrders,
            int maxLoading,
            long adapterLoads,
            long adapterEvictions) {

        /**
         * Loads and evictions together.
         *
         * @return the moves.
         */
        public long moves() {
            return loads + evictions;
        }
    }
}
