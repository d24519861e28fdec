package io.waxwingquay.residency;

import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.reservation.AdapterGate;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Assigns the places that an engine has for adapters to the requests that wait for its slots. An adapter claims a place
 * while it is loading, in use, or needed by a request that waits or was granted a slot; there are never more claims than
 * places. {@link AdapterScheduler} derives the orders from the claims.
 */
final class AdapterPlaces implements AdapterGate {

    /**
     * Time after which an adapter that is not loaded and was not asked for again is not needed any more. The slot book
     * asks for the adapters of waiting requests every 50 ms.
     */
    private static final long WAITING_CLAIM_MILLIS = 250L;

    /**
     * The same for a loaded adapter. It covers the time from the grant of a slot, which may be the last time that it is
     * asked for, until an entry reports the adapter as in use.
     */
    private static final long GRANTED_CLAIM_MILLIS = 500L;

    /** Time for which an adapter that was called for claims a place: until the caller has sent its request. */
    private static final long CALL_CLAIM_MILLIS = 500L;

    /** Time for which an adapter is not ordered again after the engine refused it, so that it is not ordered in a loop. */
    private static final long REFUSAL_MILLIS = 500L;

    /**
     * Time after which an eviction is visible in the engine's report or was not executed: the timeout of an order, and
     * the next report.
     */
    private static final long EVICTION_VISIBLE_MILLIS = 600L;

    private final Function<Long, Optional<EngineState>> engineState;
    private final Runnable onLoadNeeded;
    private final Map<AdapterName, Long> preparedAtMillis = new LinkedHashMap<>();
    private final Map<AdapterName, Long> calledAtMillis = new HashMap<>();
    private final Map<AdapterName, Long> refusedAtMillis = new HashMap<>();
    private Optional<Eviction> eviction = Optional.empty();
    private Set<AdapterName> inUse = Set.of();
    private long inUseAtMillis = Long.MIN_VALUE;

    /**
     * Creates places without claims.
     *
     * @param engineState returns the state of the engine at a monotonic time; empty while it is not known.
     * @param onLoadNeeded is called when an adapter is needed that was not before. The order is expected to be issued
     *     later, as this is called while the slot book decides.
     */
    AdapterPlaces(Function<Long, Optional<EngineState>> engineState, Runnable onLoadNeeded) {
        this.engineState = engineState;
        this.onLoadNeeded = onLoadNeeded;
    }

    /** {@inheritDoc} */
    @Override
    public Readiness prepare(String model, String adapter, long nowMillis) {
        AdapterName name = new AdapterName(model, adapter);
        return engineState
                .apply(nowMillis)
                .filter(state -> state.report.model(model).isPresent())
                .map(state -> prepare(name, state, nowMillis))
                .orElse(Readiness.UNAVAILABLE);
    }

    private Readiness prepare(AdapterName name, EngineState state, long nowMillis) {
        EngineReport report = state.report;
        if (isHeld(name, report) && !isBeingEvicted(name, report, nowMillis)) {
            preparedAtMillis.put(name, nowMillis);
            return Readiness.READY;
        }
        if (report.loadingAdapters().contains(name.toString())) {
            preparedAtMillis.put(name, nowMillis);
            return Readiness.LOADING;
        }
        if (report.executingOrder() || isWithin(refusedAtMillis, name, REFUSAL_MILLIS, nowMillis)) {
            return Readiness.UNAVAILABLE;
        }
        boolean isNeededAlready = isWithin(preparedAtMillis, name, WAITING_CLAIM_MILLIS, nowMillis);
        if (!isNeededAlready && countOtherClaims(name, state, nowMillis) >= state.places) {
            return Readiness.UNAVAILABLE;
        }
        preparedAtMillis.put(name, nowMillis);
        if (!isNeededAlready) {
            onLoadNeeded.run();
        }
        return Readiness.LOADING;
    }

    /** Records that an entry called for an adapter without requesting a slot. */
    void called(AdapterName name, long nowMillis) {
        dropExpiredCalls(nowMillis);
        calledAtMillis.put(name, nowMillis);
    }

    private void dropExpiredCalls(long nowMillis) {
        calledAtMillis.values().removeIf(atMillis -> nowMillis - atMillis > CALL_CLAIM_MILLIS);
    }

    /**
     * Returns the adapter to load next for a request that waits for a slot.
     *
     * @param report the state reported by the engine.
     * @param nowMillis the current monotonic time.
     */
    Optional<AdapterName> nextToLoad(EngineReport report, long nowMillis) {
        dropExpired(report, nowMillis);
        if (report.executingOrder()) {
            return Optional.empty();
        }
        return preparedAtMillis.keySet().stream()
                .filter(name -> report.model(name.model()).isPresent())
                .filter(name -> !report.hasAdapter(name.model(), name.adapter()))
                .filter(name -> !refusedAtMillis.containsKey(name))
                .findFirst();
    }

    /** Returns whether a request waits for an adapter that is not loaded yet. */
    boolean hasWaiting(EngineReport report, long nowMillis) {
        return preparedAtMillis.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue() <= WAITING_CLAIM_MILLIS)
                .anyMatch(entry -> !isHeld(entry.getKey(), report));
    }

    /** Returns whether an adapter that the engine holds must not be evicted although no entry reports it as in use. */
    boolean isClaimed(AdapterName name, long nowMillis) {
        return isWithin(preparedAtMillis, name, GRANTED_CLAIM_MILLIS, nowMillis)
                || isWithin(calledAtMillis, name, CALL_CLAIM_MILLIS, nowMillis);
    }

    /** Records that an order is issued. */
    void issued(EngineControl.Order order, long nowMillis) {
        if (!order.load() && order.adapter().isPresent()) {
            eviction = Optional.of(new Eviction(order, nowMillis));
        }
    }

    /** Records the engine's answer to an order. */
    void answered(EngineControl.Order order, EngineControl.Answer answer, long nowMillis) {
        if (answer != EngineControl.Answer.TAKEN) {
            eviction = eviction.filter(current -> !current.order.equals(order));
        }
        if (order.load() && answer == EngineControl.Answer.REFUSED) {
            order.adapter()
                    .ifPresent(adapter -> refusedAtMillis.put(new AdapterName(order.model(), adapter), nowMillis));
        }
    }

    /** Returns the number of other adapters that claim a place. */
    private int countOtherClaims(AdapterName name, EngineState state, long nowMillis) {
        Set<AdapterName> claims = new HashSet<>(inUse(state, nowMillis));
        state.report.loadingAdapters().forEach(text -> claims.add(AdapterName.parse(text)));
        preparedAtMillis.forEach((other, atMillis) -> {
            if (nowMillis - atMillis <= claimMillis(other, state.report)) {
                claims.add(other);
            }
        });
        calledAtMillis.forEach((other, atMillis) -> {
            if (nowMillis - atMillis <= CALL_CLAIM_MILLIS) {
                claims.add(other);
            }
        });
        claims.remove(name);
        return claims.size();
    }

    /** Returns the adapters in use, which are collected once for all calls of one round of the slot book. */
    private Set<AdapterName> inUse(EngineState state, long nowMillis) {
        if (inUseAtMillis != nowMillis) {
            inUseAtMillis = nowMillis;
            inUse = state.inUse.adapters();
        }
        return inUse;
    }

    private void dropExpired(EngineReport report, long nowMillis) {
        preparedAtMillis
                .entrySet()
                .removeIf(entry -> nowMillis - entry.getValue() > claimMillis(entry.getKey(), report));
        dropExpiredCalls(nowMillis);
        refusedAtMillis.values().removeIf(atMillis -> nowMillis - atMillis > REFUSAL_MILLIS);
    }

    private boolean isBeingEvicted(AdapterName name, EngineReport report, long nowMillis) {
        return eviction.filter(current -> current.isOf(name) && current.isPending(report, nowMillis))
                .isPresent();
    }

    private static long claimMillis(AdapterName name, EngineReport report) {
        return isHeld(name, report) ? GRANTED_CLAIM_MILLIS : WAITING_CLAIM_MILLIS;
    }

    private static boolean isHeld(AdapterName name, EngineReport report) {
        return report.model(name.model())
                .filter(model -> model.adapters().contains(name.adapter()))
                .isPresent();
    }

    private static boolean isWithin(
            Map<AdapterName, Long> atMillisByName, AdapterName name, long durationMillis, long nowMillis) {
        return Optional.ofNullable(atMillisByName.get(name))
                .filter(atMillis -> nowMillis - atMillis <= durationMillis)
                .isPresent();
    }

    /** Collects the adapters that entries report as in use. */
    @FunctionalInterface
    interface InUse {

        Set<AdapterName> adapters();
    }

    /**
     * The state of the engine.
     *
     * @param report its last report.
     * @param places the number of adapters that it may hold at once.
     * @param inUse collects the adapters in use, which is costly with many entries.
     */
    record EngineState(EngineReport report, int places, InUse inUse) {}

    private record Eviction(EngineControl.Order order, long issuedAtMillis) {

        boolean isOf(AdapterName name) {
            return order.model().equals(name.model()) && order.adapter().equals(Optional.of(name.adapter()));
        }

        boolean isPending(EngineReport report, long nowMillis) {
            return report.ordersTaken() <= order.expectedOrdersTaken()
                    && nowMillis - issuedAtMillis <= EVICTION_VISIBLE_MILLIS;
        }
    }
}
