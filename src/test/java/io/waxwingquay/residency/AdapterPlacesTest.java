package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.reservation.AdapterGate.Readiness;
import io.waxwingquay.transport.generated.AdapterCall;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class AdapterPlacesTest {

    private static final int PLACES = 4;
    private static final Engine ENGINE = new Engine(8, 1_000, 200, PLACES, 1, List.of());

    private final AdapterPlaces places = new AdapterPlaces(nowMillis -> state(), this::countLoad);
    private final AdapterScheduler scheduler = new AdapterScheduler(places);
    private final Set<String> held = new LinkedHashSet<>();
    private final Set<String> loading = new LinkedHashSet<>();
    private final Set<String> inUse = new HashSet<>();
    private boolean lost;
    private boolean executingOrder;
    private int reservedSlots;
    private long ordersTaken;
    private int loadsNeeded;

    // Guards against an order for each round of the slot book, which asks every 25 ms.
    @Test
    void adapterIsOrderedOnceAndReadyWhenLoaded() {
        assertEquals(Readiness.LOADING, prepare("a1", 0));
        assertEquals(Readiness.LOADING, prepare("a1", 25));
        assertEquals(1, loadsNeeded);
        assertEquals("load m/a1 after 0", nextOrder(25));
        loading.add("a1");
        assertEquals("", nextOrder(30));
        loading.remove("a1");
        held.add("a1");
        assertEquals(Readiness.READY, prepare("a1", 50));
    }

    // Guards against waiting for an adapter that can't be loaded while the others are in use, needed or loading.
    @Test
    void adapterIsUnavailableWhileOthersUseAllPlaces() {
        held.addAll(List.of("a1", "a2", "a3"));
        loading.add("a4");
        inUse.add("a1");
        assertEquals(Readiness.READY, prepare("a2", 0));
        scheduler.addCall(new HostPort("10.0.0.1", 7380), new AdapterCall(1, "m", "a3"), 0);
        assertEquals(Readiness.UNAVAILABLE, prepare("a9", 0));
        assertEquals("", nextOrder(0));
        assertEquals(Readiness.READY, prepare("a1", 0));
    }

    // Guards against reserving a place for ever for a request that was denied, or has left.
    @Test
    void adapterThatIsNoLongerAskedForIsForgotten() {
        inUse.addAll(List.of("a1", "a2", "a3"));
        assertEquals(Readiness.LOADING, prepare("a8", 0));
        assertEquals(Readiness.UNAVAILABLE, prepare("a9", 250));
        assertEquals(Readiness.LOADING, prepare("a9", 251));
        assertEquals("load m/a9 after 0", nextOrder(251));
    }

    // Guards against evicting the adapter of a granted request before an entry reports it as in use.
    @Test
    void adapterOfAGrantedRequestIsNotEvicted() {
        held.addAll(List.of("a1", "a2", "a3", "a4"));
        List.of("a1", "a2", "a3").forEach(adapter -> prepare(adapter, 0));
        prepare("a4", 100);
        assertEquals(Readiness.UNAVAILABLE, prepare("a9", 500));
        inUse.addAll(List.of("a2", "a3"));
        assertEquals(Readiness.LOADING, prepare("a9", 501));
        assertEquals("unload m/a1 after 0", nextOrder(501));
    }

    // Guards against sending a request for an adapter whose eviction has been ordered, but not reported.
    @Test
    void adapterThatIsBeingEvictedIsNotReady() {
        held.addAll(List.of("a1", "a2", "a3", "a4"));
        prepare("a9", 0);
        EngineControl.Order eviction = order(0).orElseThrow();
        places.issued(eviction, 0);
        places.answered(eviction, EngineControl.Answer.TAKEN, 1);
        String evicted = eviction.adapter().orElseThrow();
        assertEquals(Readiness.LOADING, prepare(evicted, 1));
        ordersTaken++;
        held.remove(evicted);
        assertEquals("load m/a9 after 1", nextOrder(2));
    }

    // Guards against an adapter that stays out of use as its eviction was refused.
    @Test
    void adapterWhoseEvictionWasRefusedIsReady() {
        held.addAll(List.of("a1", "a2", "a3", "a4"));
        prepare("a9", 0);
        EngineControl.Order eviction = order(0).orElseThrow();
        places.issued(eviction, 0);
        places.answered(eviction, EngineControl.Answer.CONFLICT, 1);
        assertEquals(Readiness.READY, prepare(eviction.adapter().orElseThrow(), 1));
    }

    // Guards against an order in each round trip for an adapter that the engine can't load.
    @Test
    void refusedAdapterIsUnavailableForAWhile() {
        prepare("a1", 0);
        places.answered(order(0).orElseThrow(), EngineControl.Answer.REFUSED, 1);
        assertEquals("", nextOrder(2));
        assertEquals(Readiness.UNAVAILABLE, prepare("a1", 2));
        assertEquals(Readiness.LOADING, prepare("a1", 502));
    }

    // Guards against waiting for an engine that executes a model order, which refuses adapter orders for seconds.
    @Test
    void onlyLoadedAdaptersAreAvailableWhileAModelOrderIsExecuted() {
        held.add("a1");
        prepare("a2", 0);
        executingOrder = true;
        assertEquals(Readiness.READY, prepare("a1", 1));
        assertEquals(Readiness.UNAVAILABLE, prepare("a2", 1));
        assertEquals("", nextOrder(1));
    }

    @Test
    void nothingIsAvailableWithoutTheModelTheEngineOrAPlace() {
        assertEquals(Readiness.UNAVAILABLE, places.prepare("other", "a1", 0));
        reservedSlots = PLACES;
        assertEquals(Readiness.UNAVAILABLE, prepare("a1", 0));
        reservedSlots = 0;
        lost = true;
        assertEquals(Readiness.UNAVAILABLE, prepare("a1", 0));
    }

    // Guards against more adapters than places, the eviction of one in use, and requests that never find theirs loaded.
    @Test
    void randomRequestsShareThePlaces() {
        Random random = new Random(5);
        Map<String, Long> waitingSinceMillis = new HashMap<>();
        Map<String, Long> usedUntilMillis = new HashMap<>();
        int served = 0;
        for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 5) {
            long millis = nowMillis;
            held.addAll(loading);
            loading.clear();
            usedUntilMillis.values().removeIf(until -> until < millis);
            inUse.clear();
            inUse.addAll(usedUntilMillis.keySet());
            if (random.nextInt(10) == 0) {
                waitingSinceMillis.putIfAbsent("a" + random.nextInt(12), millis);
            }
            waitingSinceMillis.values().removeIf(since -> millis - since > 4_000);
            for (String adapter : List.copyOf(waitingSinceMillis.keySet())) {
                if (prepare(adapter, millis) == Readiness.READY) {
                    waitingSinceMillis.remove(adapter);
                    usedUntilMillis.merge(adapter, millis + 200 + random.nextInt(600), Math::max);
                    served++;
                }
            }
            order(millis).ifPresent(this::execute);
            assertTrue(held.size() + loading.size() <= PLACES, held + " and " + loading);
            assertTrue(held.containsAll(usedUntilMillis.keySet()), held + " lacks one of " + usedUntilMillis);
        }
        assertTrue(served > 400, "served " + served);
    }

    private void countLoad() {
        loadsNeeded++;
    }

    private void execute(EngineControl.Order order) {
        String adapter = order.adapter().orElseThrow();
        ordersTaken++;
        if (order.load()) {
            loading.add(adapter);
        } else {
            assertTrue(held.remove(adapter));
            assertFalse(inUse.contains(adapter));
        }
    }

    private Readiness prepare(String adapter, long nowMillis) {
        return places.prepare("m", adapter, nowMillis);
    }

    private String nextOrder(long nowMillis) {
        return order(nowMillis).map(EngineControl.Order::toText).orElse("");
    }

    private Optional<EngineControl.Order> order(long nowMillis) {
        Set<String> names = inUse.stream().map(adapter -> "m/" + adapter).collect(Collectors.toSet());
        return scheduler.nextOrder(ENGINE, report(), reservedSlots, names, nowMillis);
    }

    private Optional<AdapterPlaces.EngineState> state() {
        Set<AdapterName> names =
                inUse.stream().map(adapter -> new AdapterName("m", adapter)).collect(Collectors.toSet());
        return lost
                ? Optional.empty()
                : Optional.of(new AdapterPlaces.EngineState(report(), PLACES - reservedSlots, () -> names));
    }

    private EngineReport report() {
        ReplicaRecord.ResidentModel model = new ReplicaRecord.ResidentModel("m", new ArrayList<>(held));
        Set<String> loadingNames =
                loading.stream().map(adapter -> "m/" + adapter).collect(Collectors.toSet());
        return new EngineReport(
                0,
                ordersTaken,
                executingOrder,
                0,
                0,
                0,
                0,
                List.of(model),
                loadingNames,
                Set.of(),
                Set.of(),
                false,
                List.of());
    }
}
