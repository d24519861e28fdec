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
 * Simulates an engine's accelerator memory and the orders that change it. Every order that passes fencing is carried
 * out; loads beyond the capacity are not refused but counted as overcommits.
 */
public final class EngineMemory {

    private static final String ADAPTER_PREFIX = "adapter:";

    private final StandinTimer timer;
    private final long capacityBytes;
    private final boolean enforceFencing;
    private final long evictMicros;
    private final WeightSource weights;
    private final Consumer<String> onEvicted;
    private final Map<String, Long> residentBytesByItem = new LinkedHashMap<>();
    private final Map<String, Long> loadingBytesByItem = new HashMap<>();
    private final Map<String, Order> openOrders = new LinkedHashMap<>();
    private final Set<String> seenOrderIds = new HashSet<>();
    private String bootId = UUID.randomUUID().toString();
    private long highestFence;
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
            boolean enforceFencing,
            long evictMicros,
            WeightSource weights,
            Consumer<String> onEvicted) {
        this.timer = timer;
        this.capacityBytes = capacityBytes;
        this.enforceFencing = enforceFencing;
        this.evictMicros = evictMicros;
        this.weights = weights;
        this.onEvicted = onEvicted;
    }

    /** Accepts an order. An order with a stale fencing token is refused, and an order received again has no effect. */
    synchronized OrderAnswer submit(Order order) {
        if (enforceFencing && order.fence() < highestFence) {
            staleOrders++;
            return OrderAnswer.STALE_FENCE;
        }
        highestFence = Math.max(highestFence, order.fence());
        if (!seenOrderIds.add(order.id())) {
            return OrderAnswer.TAKEN;
        }
        openOrders.put(order.id(), order);
        if (order.kind() == OrderKind.LOAD) {
            load(order);
        } else {
            evict(order);
        }
        return OrderAnswer.TAKEN;
    }

    synchronized boolean isResident(String item) {
        return residentBytesByItem.containsKey(item);
    }

    synchronized Residency residency() {
        List<Resident> residents = residentBytesByItem.entrySet().stream()
                .map(entry -> new Resident(entry.getKey(), entry.getValue()))
                .toList();
        return new Residency(bootId, capacityBytes, residents, List.copyOf(openOrders.values()));
    }

    synchronized void reset() {
        bootId = UUID.randomUUID().toString();
        residentBytesByItem.clear();
        loadingBytesByItem.clear();
        openOrders.clear();
        seenOrderIds.clear();
    }

    /** Puts an item into memory immediately, as if the engine had started with it. */
    synchronized void preload(String item, long bytes) {
        residentBytesByItem.put(item, bytes);
        recordUsage();
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
        if (residentBytesByItem.containsKey(order.item())) {
            openOrders.remove(order.id());
            return;
        }
        loadingBytesByItem.put(order.item(), order.bytes());
        maxLoading = Math.max(maxLoading, loadingBytesByItem.size());
        recordUsage();
        String startBootId = bootId;
        weights.load(order.item(), order.bytes())
                .whenComplete((done, failure) -> completeLoad(startBootId, order, failure));
    }

    private synchronized void completeLoad(String startBootId, Order order, Throwable failure) {
        if (!startBootId.equals(bootId)) {
            return;
        }
        openOrders.remove(order.id());
        Long bytes = loadingBytesByItem.remove(order.item());
        if (failure != null) {
            failedLoads++;
        } else if (bytes != null) {
            loads++;
            adapterLoads += isAdapter(order.item()) ? 1 : 0;
            residentBytesByItem.put(order.item(), bytes);
        }
        recordUsage();
    }

    private void evict(Order order) {
        String startBootId = bootId;
        timer.schedule(evictMicros, () -> completeEviction(startBootId, order));
    }

    private void completeEviction(String startBootId, Order order) {
        synchronized (this) {
            if (!startBootId.equals(bootId)) {
                return;
            }
            openOrders.remove(order.id());
            if (residentBytesByItem.remove(order.item()) == null) {
                return;
            }
            evictions++;
            adapterEvictions += isAdapter(order.item()) ? 1 : 0;
        }
        onEvicted.accept(order.item());
    }

    private static boolean isAdapter(String item) {
        return item.startsWith(ADAPTER_PREFIX);
    }

    private long usedBytes() {
        long loadingBytes = loadingBytesByItem.entrySet().stream()
                .filter(entry -> !residentBytesByItem.containsKey(entry.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
        return loadingBytes
                + residentBytesByItem.values().stream()
                        .mapToLong(Long::longValue)
                        .sum();
    }

    private void recordUsage() {
        long usedBytes = usedBytes();
        maxUsedBytes = Math.max(maxUsedBytes, usedBytes);
        if (usedBytes > capacityBytes) {
            overcommits++;
        }
    }

    /**
     * The counters of an engine's memory.
     *
     * @param capacityBytes size of the accelerator memory.
     * @param usedBytes memory taken by resident items and loads in progress.
     * @param maxUsedBytes maximum of the used memory so far.
     * @param overcommits number of changes after which the used memory exceeded the capacity.
     * @param loads number of completed loads.
     * @param evictions number of completed evictions.
     * @param failedLoads number of loads that failed in the weight store.
     * @param staleOrders number of orders refused for a stale fencing token.
     * @param maxLoading maximum number of items loading at once.
     * @param adapterLoads number of completed adapter loads, which are also part of {@code loads}.
     * @param adapterEvictions number of completed adapter evictions, which are also part of {@code evictions}.
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
         * Returns the total of loads and evictions.
         *
         * @return the number of moves.
         */
        public long moves() {
            return loads + evictions;
        }
    }
}
