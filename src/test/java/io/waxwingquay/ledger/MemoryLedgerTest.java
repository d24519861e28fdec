package io.waxwingquay.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.Clock;
import io.waxwingquay.engine.ModelEngine.Order;
import io.waxwingquay.engine.ModelEngine.OrderKind;
import io.waxwingquay.engine.ModelEngine.Residency;
import io.waxwingquay.engine.ModelEngine.Resident;
import io.waxwingquay.ledger.MemoryLedger.Observation;
import io.waxwingquay.ledger.MemoryLedger.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

class MemoryLedgerTest {

    private static final long QUARANTINE_MILLIS = 30_000L;

    private final TestClock clock = new TestClock();

    @Test
    void rejectsReservationThatDoesNotFit() {
        MemoryLedger ledger = ledgerAfterFirstReport(100L);
        assertTrue(ledger.reserve("a", 60L, "o1"));
        assertFalse(ledger.reserve("b", 41L, "o2"));
        assertTrue(ledger.reserve("c", 40L, "o3"));
    }

    @Test
    void reservesNothingBeforeTheFirstReport() {
        MemoryLedger ledger = MemoryLedger.forFencedEngine(100L, clock, QUARANTINE_MILLIS);
        assertFalse(ledger.reserve("a", 1L, "o1"));
    }

    /**
     * Guards against freeing memory on a timeout while an ordered eviction is not confirmed. The next item would be
     * loaded beside the old one, and the engine would run out of memory.
     */
    @Test
    void unconfirmedEvictionFreesNoMemory() {
        MemoryLedger ledger = ledgerAfterFirstReport(100L, new Resident("a", 80L));
        assertTrue(ledger.beginEviction("a", "o1"));
        clock.advance(10L * QUARANTINE_MILLIS);
        assertFalse(ledger.reserve("b", 80L, "o2"));
        ledger.observe(report("b1", List.of(), new Resident("a", 80L)));
        assertFalse(ledger.reserve("b", 80L, "o2"));
        ledger.observe(report("b1", List.of(new Order("o1", OrderKind.EVICT, "a", 80L, 1L))));
        assertFalse(ledger.reserve("b", 80L, "o2"));
        ledger.observe(report("b1", List.of()));
        assertTrue(ledger.reserve("b", 80L, "o2"));
    }

    /**
     * Guards against filling an engine that only looks empty after a restart of the side process, while a load ordered
     * by the previous process is still in transit.
     */
    @Test
    void freeMemoryIsUnknownWhileOrdersOfThePredecessorMayArrive() {
        MemoryLedger ledger = MemoryLedger.forUnfencedEngine(100L, clock, QUARANTINE_MILLIS);
        ledger.observe(report("b1", List.of(), new Resident("old", 20L)));
        assertTrue(ledger.snapshot().isResident("old"));
        assertEquals(100L, ledger.snapshot().countedBytes());
        assertFalse(ledger.reserve("new", 50L, "o1"));
        clock.advance(QUARANTINE_MILLIS);
        Observation landed =
                ledger.observe(report("b1", List.of(), new Resident("old", 20L), new Resident("late", 60L)));
        assertEquals(List.of("late"), landed.adopted());
        assertFalse(ledger.reserve("new", 50L, "o1"));
        assertTrue(ledger.reserve("new", 20L, "o1"));
    }

    /**
     * Guards against a duplicate load after an engine restart. The engine forgets which order ids it accepted, so a
     * lost copy of an order that is still in transit would load the item once more.
     */
    @Test
    void lostOrdersStayCountedAcrossAnEngineRestart() {
        MemoryLedger ledger = ledgerAfterFirstReport(100L);
        assertTrue(ledger.reserve("a", 60L, "o1"));
        ledger.recordLostAnswer();
        Observation seen = ledger.observe(report("b2", List.of()));
        assertTrue(seen.rebooted());
        assertEquals(State.UNKNOWN, ledger.snapshot().holdings().get("a").state());
        assertFalse(ledger.reserve("b", 40L, "o2"));
        clock.advance(QUARANTINE_MILLIS);
        assertTrue(ledger.reserve("b", 40L, "o2"));
        assertFalse(ledger.reserve("c", 1L, "o3"));
    }

    @Test
    void pinnedItemIsNotEvicted() {
        MemoryLedger ledger = ledgerAfterFirstReport(100L, new Resident("a", 80L));
        assertTrue(ledger.pin("a"));
        assertFalse(ledger.beginEviction("a", "o1"));
        ledger.unpin("a");
        assertTrue(ledger.beginEviction("a", "o1"));
        assertFalse(ledger.pin("a"));
    }

    @Test
    void reportsSurplusFromAForeignOrder() {
        MemoryLedger ledger = ledgerAfterFirstReport(100L, new Resident("a", 80L));
        Observation seen = ledger.observe(report("b1", List.of(), new Resident("a", 80L), new Resident("x", 30L)));
        assertEquals(10L, seen.surplusBytes());
    }

    @Property(tries = 500, seed = "20261202")
    void countedAndUsedMemoryNeverExceedCapacity(
            @ForAll @Size(max = 80) List<@IntRange(max = 7) Integer> steps,
            @ForAll @Size(value = 80) List<@IntRange(min = 1, max = 60) Integer> picks) {
        SimulatedEngine engine = new SimulatedEngine();
        for (int i = 0; i < steps.size(); i++) {
            engine.step(steps.get(i), picks.get(i));
            assertTrue(engine.ledger.snapshot().countedBytes() <= 100L);
            assertTrue(engine.usedBytes() <= 100L, () -> "engine holds " + engine.memory);
        }
    }

    @Test
    void isLinearizable() {
        new StressOptions()
                .iterations(10)
                .invocationsPerIteration(500)
                .threads(2)
                .actorsPerThread(3)
                .check(ConcurrentOperations.class);
    }

    private MemoryLedger ledgerAfterFirstReport(long capacityBytes, Resident... residents) {
        MemoryLedger ledger = MemoryLedger.forFencedEngine(capacityBytes, clock, QUARANTINE_MILLIS);
        ledger.observe(report("b1", List.of(), residents));
        return ledger;
    }

    private static Residency report(String bootId, List<Order> openOrders, Resident... residents) {
        return new Residency(bootId, 100L, List.of(residents), openOrders);
    }

    /** Operations that run concurrently. */
    public static class ConcurrentOperations {

        private final MemoryLedger ledger = withOneResident();

        private static MemoryLedger withOneResident() {
            MemoryLedger ledger = MemoryLedger.forFencedEngine(100L, new TestClock(), QUARANTINE_MILLIS);
            ledger.observe(report("b1", List.of(), new Resident("a", 40L)));
            return ledger;
        }

        @Operation
        public boolean pin() {
            return ledger.pin("a");
        }

        @Operation
        public boolean evict() {
            return ledger.beginEviction("a", "e");
        }

        @Operation
        public boolean reserve(@Param(gen = IntGen.class, conf = "0:60") int sizeBytes) {
            return ledger.reserve("b", sizeBytes + 10L, "l");
        }

        @Operation
        public long freeBytes() {
            return ledger.snapshot().freeBytes();
        }
    }

    /** Simulates an engine that receives orders late, twice or never, all from one ledger. */
    private static final class SimulatedEngine {

        private final TestClock clock = new TestClock();
        private final MemoryLedger ledger = MemoryLedger.forFencedEngine(100L, clock, QUARANTINE_MILLIS);
        private final Map<String, Long> memory = new HashMap<>();
        private final List<Order> ordersInTransit = new ArrayList<>();
        private final List<Order> openOrders = new ArrayList<>();
        private final Set<String> acceptedOrderIds = new HashSet<>();
        private int orderCount;
        private int bootCount;

        private void step(int kind, int pick) {
            switch (kind) {
                case 0 -> load("item" + pick % 6, pick);
                case 1 -> evict("item" + pick % 6);
                case 2 -> resend(pick);
                case 3 -> deliver(pick);
                case 4 -> executeOpenOrders();
                case 5 -> reportResidency();
                case 6 -> reboot(pick);
                default -> clock.advance(pick * 10L);
            }
        }

        private void load(String item, long sizeBytes) {
            String id = "o" + orderCount++;
            if (ledger.reserve(item, sizeBytes, id)) {
                send(new Order(id, OrderKind.LOAD, item, sizeBytes, 1L));
            }
        }

        private void evict(String item) {
            String id = "o" + orderCount++;
            if (ledger.beginEviction(item, id)) {
                send(new Order(id, OrderKind.EVICT, item, 0L, 1L));
            }
        }

        private void resend(int pick) {
            ledger.snapshot().holdings().values().stream()
                    .filter(MemoryLedger.Holding::awaitsLoad)
                    .filter(holding -> !ledger.snapshot().quarantined())
                    .forEach(holding -> send(
                            new Order(holding.orderId(), OrderKind.LOAD, holding.item(), holding.sizeBytes(), 1L)));
        }

        private void send(Order order) {
            ordersInTransit.add(order);
            ledger.recordLostAnswer();
        }

        private void deliver(int pick) {
            if (!ordersInTransit.isEmpty()) {
                Order order = ordersInTransit.remove(pick % ordersInTransit.size());
                if (acceptedOrderIds.add(order.id())) {
                    openOrders.add(order);
                }
            }
        }

        private void executeOpenOrders() {
            for (Order order : openOrders) {
                if (order.kind() == OrderKind.LOAD) {
                    memory.put(order.item(), order.bytes());
                } else {
                    memory.remove(order.item());
                }
            }
            openOrders.clear();
        }

        private void reportResidency() {
            List<Resident> residents = new ArrayList<>();
            memory.forEach((item, sizeBytes) -> residents.add(new Resident(item, sizeBytes)));
            ledger.observe(report("b" + bootCount, List.copyOf(openOrders), residents.toArray(Resident[]::new)));
        }

        /**
         * Reboots the engine. Each reboot is reported, and orders in transit before it have taken effect by the end of
         * the quarantine.
         */
        private void reboot(int pick) {
            bootCount++;
            memory.clear();
            openOrders.clear();
            acceptedOrderIds.clear();
            reportResidency();
            if (pick % 2 == 0) {
                ordersInTransit.forEach(order -> {
                    if (acceptedOrderIds.add(order.id())) {
                        openOrders.add(order);
                    }
                });
                ordersInTransit.clear();
                executeOpenOrders();
                reportResidency();
                clock.advance(QUARANTINE_MILLIS);
            }
        }

        private long usedBytes() {
            return memory.values().stream().mapToLong(Long::longValue).sum();
        }
    }

    private static final class TestClock implements Clock {

        private long millis = 1_000_000L;

        private void advance(long byMillis) {
            millis += byMillis;
        }

        @Override
        public long monotonicMillis() {
            return millis;
        }

        @Override
        public long epochMillis() {
            return millis;
        }
    }
}
