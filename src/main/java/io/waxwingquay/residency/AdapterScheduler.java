package io.waxwingquay.residency;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.transport.generated.AdapterCall;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Schedules the loading of adapters that entries have asked for, and the eviction of other adapters to free slots, for
 * one engine.
 */
final class AdapterScheduler {

    /** After this time the entry has asked another engine or has given up the request. */
    private static final long CALL_TIMEOUT_MILLIS = 400L;

    /**
     * An adapter that was asked for recently is about to be used, although no entry's update has reported it as in use
     * yet.
     */
    private static final long RECENT_USE_MILLIS = 500L;

    /** The maximum number of adapters that load at the same time. */
    private static final int MAX_LOADING_ADAPTERS = 4;

    private final AdapterPlaces places;
    private final Map<AdapterName, Waiters> waitersByAdapter = new LinkedHashMap<>();
    private final Map<AdapterName, Long> lastUsedMillis = new HashMap<>();

    /**
     * Creates a scheduler without calls.
     *
     * @param places the adapters that requests for slots of the engine need.
     */
    AdapterScheduler(AdapterPlaces places) {
        this.places = places;
    }

    void addCall(HostPort entry, AdapterCall call, long nowMillis) {
        dropTimedOut(nowMillis);
        AdapterName name = new AdapterName(call.getModel(), call.getAdapter());
        lastUsedMillis.put(name, nowMillis);
        places.called(name, nowMillis);
        Waiters waiters = waitersByAdapter.computeIfAbsent(name, key -> new Waiters(nowMillis, new ArrayList<>()));
        Caller caller = new Caller(entry, call.getId());
        if (!waiters.callers.contains(caller)) {
            waiters.callers.add(caller);
        }
    }

    boolean hasWaiters() {
        return !waitersByAdapter.isEmpty();
    }

    /**
     * Replies to the callers whose adapter is loaded, and to those that should ask another engine: the model is absent
     * or the engine is executing an order and accepts no further one.
     */
    void replyToWaiters(EngineReport report, ReplySender sender) {
        for (Iterator<Map.Entry<AdapterName, Waiters>> each =
                        waitersByAdapter.entrySet().iterator();
                each.hasNext(); ) {
            Map.Entry<AdapterName, Waiters> entry = each.next();
            AdapterName name = entry.getKey();
            Optional<Boolean> loaded =
                    report.model(name.model()).map(model -> model.adapters().contains(name.adapter()));
            if (report.executingOrder() || loaded.isEmpty() || loaded.get()) {
                each.remove();
                entry.getValue().reply(sender, loaded.orElse(false));
            }
        }
    }

    void rejectAll(ReplySender sender) {
        waitersByAdapter.values().forEach(waiters -> waiters.reply(sender, false));
        waitersByAdapter.clear();
    }

    /**
     * Returns the next order that loads a requested adapter or evicts another one for it. Adapters that requests for slots
     * need come first: they are never more than the places, and each is loaded within milliseconds.
     *
     * @param engine the specification of the engine.
     * @param report the state reported by the engine.
     * @param reservedSlots slots to leave free.
     * @param inUse adapters in use by requests, as {@code model/adapter}.
     * @param nowMillis the current monotonic time.
     */
    Optional<EngineControl.Order> nextOrder(
            Engine engine, EngineReport report, int reservedSlots, Set<String> inUse, long nowMillis) {
        dropTimedOut(nowMillis);
        inUse.forEach(text -> lastUsedMillis.put(AdapterName.parse(text), nowMillis));
        Optional<AdapterName> neededForSlot = places.nextToLoad(report, nowMillis);
        Optional<AdapterName> nextToLoad = neededForSlot.or(() -> nextCalled(report));
        int availableSlots = engine.adapterSlots() - reservedSlots;
        if (nextToLoad.isEmpty()
                || availableSlots <= 0
                || report.loadingAdapters().size() >= MAX_LOADING_ADAPTERS) {
            return Optional.empty();
        }
        if (report.usedAdapterSlots() < availableSlots) {
            return nextToLoad.map(name -> order(true, name, report));
        }
        // A call of an entry states no claim, so a recently used adapter may be about to be used by another entry. For
        // slots all needs are known, and what is neither in use nor claimed is idle.
        Predicate<AdapterName> isEvictable = neededForSlot.isPresent()
                ? name -> !inUse.contains(name.toString())
                : name -> nowMillis - lastUsedMillis(name) > RECENT_USE_MILLIS;
        return leastRecentlyUsed(report, isEvictable, nowMillis).map(name -> order(false, name, report));
    }

    private void dropTimedOut(long nowMillis) {
        waitersByAdapter.values().removeIf(waiters -> nowMillis - waiters.sinceMillis > CALL_TIMEOUT_MILLIS);
    }

    private Optional<AdapterName> nextCalled(EngineReport report) {
        return waitersByAdapter.keySet().stream()
                .filter(name -> !report.loadingAdapters().contains(name.toString()))
                .findFirst();
    }

    private Optional<AdapterName> leastRecentlyUsed(
            EngineReport report, Predicate<AdapterName> isEvictable, long nowMillis) {
        return report.models().stream()
                .flatMap(model -> model.adapters().stream().map(adapter -> new AdapterName(model.name(), adapter)))
                .filter(name -> !waitersByAdapter.containsKey(name))
                .filter(name -> !places.isClaimed(name, nowMillis))
                .filter(isEvictable)
                .min(Comparator.comparingLong(this::lastUsedMillis));
    }

    private long lastUsedMillis(AdapterName name) {
        return lastUsedMillis.getOrDefault(name, Long.MIN_VALUE / 2);
    }

    private static EngineControl.Order order(boolean load, AdapterName name, EngineReport report) {
        return new EngineControl.Order(load, name.model(), Optional.of(name.adapter()), report.ordersTaken());
    }

    /** Sends the replies to adapter calls. */
    @FunctionalInterface
    interface ReplySender {

        void send(HostPort entry, long id, boolean loaded);
    }

    private record Caller(HostPort entry, long id) {}

    private record Waiters(long sinceMillis, List<Caller> callers) {

        void reply(ReplySender sender, boolean loaded) {
            callers.forEach(caller -> sender.send(caller.entry, caller.id, loaded));
        }
    }
}
