package io.waxwingquay.ledger;

import io.waxwingquay.chart.StateChart;
import io.waxwingquay.common.Clock;
import io.waxwingquay.engine.ModelEngine.Order;
import io.waxwingquay.engine.ModelEngine.OrderKind;
import io.waxwingquay.engine.ModelEngine.Resident;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Accounts for the accelerator memory of one target. Every item that is or may come to be in memory counts in full;
 * bytes are freed only by the engine's own report. Safe for concurrent use, but reports must be passed in one after
 * another, each read after the previous one was passed in.
 */
public final class MemoryLedger {

    /** The name of the state chart of items. */
    public static final String CHART_NAME = "item";

    private static final StateChart<State, Event> CHART = StateChart.load(CHART_NAME, State.class, Event.class);

    private final Clock clock;
    private final long quarantineMillis;
    private final Map<String, Holding> holdings = new TreeMap<>();
    private final Map<String, Integer> pins = new HashMap<>();
    private long capacityBytes;
    private String bootId = "";
    private long quarantinedUntilMillis;
    private long lastLostAnswerMillis;

    private MemoryLedger(long capacityBytes, Clock clock, long quarantineMillis, long initialQuarantineMillis) {
        this.capacityBytes = capacityBytes;
        this.clock = clock;
        this.quarantineMillis = quarantineMillis;
        this.quarantinedUntilMillis = clock.monotonicMillis() + initialQuarantineMillis;
        this.lastLostAnswerMillis = clock.monotonicMillis() - quarantineMillis - 1L;
    }

    /**
     * Creates a ledger for an engine that rejects the orders of a previous side process.
     *
     * @param capacityBytes the memory known from the bundle, until the engine reports its own.
     * @param clock the clock.
     * @param quarantineMillis longer than the longest delay of an order; used after an engine restart.
     * @return the ledger.
     */
    public static MemoryLedger forFencedEngine(long capacityBytes, Clock clock, long quarantineMillis) {
        return new MemoryLedger(capacityBytes, clock, quarantineMillis, 0L);
    }

    /**
     * Creates a ledger for an engine that ignores fencing numbers: the orders of a previous side process may still take
     * effect, so all memory not known to be resident counts as unknown until the quarantine is over.
     *
     * @param capacityBytes the memory known from the bundle, until the engine reports its own.
     * @param clock the clock.
     * @param quarantineMillis longer than the longest delay of an order.
     * @return the ledger.
     */
    public static MemoryLedger forUnfencedEngine(long capacityBytes, Clock clock, long quarantineMillis) {
        return new MemoryLedger(capacityBytes, clock, quarantineMillis, quarantineMillis);
    }

    /**
     * Reserves memory for an item before its load is ordered.
     *
     * @param item the item.
     * @param sizeBytes the memory it takes.
     * @param orderId the order that will load it.
     * @return whether it was reserved; false if it does not fit, is already held, or the engine has not reported yet.
     */
    public synchronized boolean reserve(String item, long sizeBytes, String orderId) {
        if (bootId.isEmpty() || sizeBytes > capacityBytes - countedBytes()) {
            return false;
        }
        return transition(item, Event.RESERVE, sizeBytes, orderId);
    }

    /**
     * Marks a resident item as being evicted, before the eviction is ordered. Its bytes still count.
     *
     * @param item the item.
     * @param orderId the order that will evict it.
     * @return whether it was marked; false if it is not resident or a request uses it.
     */
    public synchronized boolean beginEviction(String item, String orderId) {
        return !pins.containsKey(item) && transition(item, Event.EVICT, sizeBytes(item), orderId);
    }

    /**
     * Keeps a resident item from being evicted while a request needs it.
     *
     * @param item the item.
     * @return whether it is resident and now pinned; each success requires one {@link #unpin}.
     */
    public synchronized boolean pin(String item) {
        if (!isResident(item)) {
            return false;
        }
        pins.merge(item, 1, Integer::sum);
        return true;
    }

    /**
     * Releases one pin.
     *
     * @param item the item.
     */
    public synchronized void unpin(String item) {
        pins.computeIfPresent(item, (name, count) -> count == 1 ? null : count - 1);
    }

    /**
     * Records that the answer to an order was lost, so that a copy of the order may arrive late.
     */
    public synchronized void recordLostAnswer() {
        lastLostAnswerMillis = clock.monotonicMillis();
    }

    /**
     * Counts all free memory as unknown for another quarantine, because another process may have sent orders.
     */
    public synchronized void quarantine() {
        quarantinedUntilMillis = clock.monotonicMillis() + quarantineMillis;
    }

    /**
     * Applies a report of the engine.
     *
     * @param report the report.
     * @return what it changed.
     */
    public synchronized Observation observe(io.waxwingquay.engine.ModelEngine.Residency report) {
        capacityBytes = report.capacityBytes();
        boolean rebooted = !bootId.isEmpty() && !bootId.equals(report.bootId());
        bootId = report.bootId();
        if (rebooted) {
            forgetResidents();
        }
        Map<String, Long> present = new HashMap<>();
        for (Resident resident : report.residents()) {
            present.put(resident.item(), resident.bytes());
        }
        return reconcile(report.openOrders(), present, rebooted);
    }

    /**
     * Returns the current state of the ledger.
     *
     * @return an immutable snapshot.
     */
    public synchronized Snapshot snapshot() {
        return new Snapshot(
                capacityBytes,
                countedBytes(),
                Map.copyOf(holdings),
                Set.copyOf(pins.keySet()),
                isQuarantined(),
                bootId.isEmpty() ? Optional.empty() : Optional.of(bootId));
    }

    private boolean isResident(String item) {
        Holding holding = holdings.get(item);
        return holding != null && holding.state() == State.RESIDENT;
    }

    private boolean isQuarantined() {
        return clock.monotonicMillis() < quarantinedUntilMillis;
    }

    private long heldBytes() {
        return holdings.values().stream().mapToLong(Holding::sizeBytes).sum();
    }

    private long countedBytes() {
        return isQuarantined() ? Math.max(capacityBytes, heldBytes()) : heldBytes();
    }

    /**
     * Forgets the items that an engine restart removed from memory. The restart also clears the engine's list of order
     * ids it has accepted, so a copy of an order whose answer was lost may still be in transit and would load again
     * without a reservation, overcommitting the memory soon after the restart. The quarantine outlasts the longest
     * delay of such a copy. Awaited loads stay counted and are resent under the same id.
     */
    private void forgetResidents() {
        boolean mayArriveLate = holdings.values().stream().anyMatch(Holding::awaitsLoad)
                || clock.monotonicMillis() - lastLostAnswerMillis <= quarantineMillis;
        for (Holding holding : List.copyOf(holdings.values())) {
            transition(holding.item(), Event.REBOOT, holding.sizeBytes(), holding.orderId());
        }
        if (mayArriveLate) {
            quarantine();
        }
    }

    private Observation reconcile(List<Order> openOrders, Map<String, Long> present, boolean rebooted) {
        List<String> adopted = new ArrayList<>();
        List<String> vanished = new ArrayList<>();
        Set<String> open = new HashSet<>();
        openOrders.forEach(order -> open.add(order.item()));
        for (Holding holding : List.copyOf(holdings.values())) {
            boolean isGone = !present.containsKey(holding.item()) && !open.contains(holding.item());
            boolean freed = isGone && transition(holding.item(), Event.REPORT_ABSENT, 0L, "");
            if (freed && holding.state() == State.RESIDENT) {
                vanished.add(holding.item());
            }
        }
        present.forEach((item, sizeBytes) -> reconcilePresent(item, sizeBytes, adopted));
        openOrders.forEach(order -> reconcileOpen(order, present.keySet(), adopted));
        long surplusBytes = Math.max(0L, heldBytes() - capacityBytes);
        return new Observation(rebooted, List.copyOf(adopted), List.copyOf(vanished), surplusBytes);
    }

    private void reconcilePresent(String item, long sizeBytes, List<String> adopted) {
        Holding known = holdings.get(item);
        if (known == null) {
            adopted.add(item);
            transition(item, Event.REPORT_PRESENT, sizeBytes, "");
        } else if (!transition(item, Event.REPORT_PRESENT, sizeBytes, known.orderId())) {
            holdings.put(item, new Holding(item, sizeBytes, known.state(), known.orderId()));
        }
    }

    private void reconcileOpen(Order order, Set<String> present, List<String> adopted) {
        String item = order.item();
        if (order.kind() == OrderKind.LOAD) {
            if (transition(item, Event.FIND_LOAD, order.bytes(), order.id())) {
                adopted.add(item);
            }
        } else if (present.contains(item)) {
            transition(item, Event.FIND_EVICTION, sizeBytes(item), order.id());
        }
    }

    private boolean transition(String item, Event event, long sizeBytes, String orderId) {
        Holding known = holdings.get(item);
        Optional<State> next = CHART.next(known == null ? State.ABSENT : known.state(), event);
        next.ifPresent(state -> {
            if (state == State.ABSENT) {
                holdings.remove(item);
            } else {
                holdings.put(item, new Holding(item, sizeBytes, state, orderId));
            }
        });
        return next.isPresent();
    }

    private long sizeBytes(String item) {
        Holding known = holdings.get(item);
        return known == null ? 0L : known.sizeBytes();
    }

    /** The state of an item's memory. Every state but {@link #ABSENT} counts in full. */
    public enum State {
        /** It takes no memory, and none is reserved for it. */
        ABSENT,
        /** Memory was reserved for a load, which may have been ordered. */
        RESERVED,
        /** The engine reported it in memory. */
        RESIDENT,
        /** An eviction was marked and may have been ordered. */
        EVICTING,
        /** A load was ordered before the engine restarted and may still take effect. */
        UNKNOWN
    }

    /** Events of an item. {@code charts/item.chart} defines the transitions. */
    public enum Event {
        /** Memory is reserved before the load is ordered. */
        RESERVE,
        /** Its eviction is about to be ordered. */
        EVICT,
        /** The engine has an open order to load it. */
        FIND_LOAD,
        /** The engine has it in memory and has an open order to evict it. */
        FIND_EVICTION,
        /** The engine reports it in memory. */
        REPORT_PRESENT,
        /** The engine reports it absent, with no open order for it. */
        REPORT_ABSENT,
        /** The engine has restarted with empty memory. */
        REBOOT
    }

    /**
     * Memory held for one item.
     *
     * @param item the item.
     * @param sizeBytes the memory it takes.
     * @param state the state of that memory.
     * @param orderId the last order for it, or empty for an adopted item.
     */
    public record Holding(String item, long sizeBytes, State state, String orderId) {

        /**
         * Returns whether a load is still awaited.
         *
         * @return whether the state is reserved or unknown.
         */
        public boolean awaitsLoad() {
            return state == State.RESERVED || state == State.UNKNOWN;
        }
    }

    /**
     * The changes that a report made.
     *
     * @param rebooted whether the engine had restarted.
     * @param adopted items found that this ledger had not ordered.
     * @param vanished resident items that were gone without an eviction order from this ledger.
     * @param surplusBytes memory held beyond the capacity.
     */
    public record Observation(boolean rebooted, List<String> adopted, List<String> vanished, long surplusBytes) {}

    /**
     * The state of the ledger at one moment.
     *
     * @param capacityBytes the accelerator memory.
     * @param countedBytes memory that counts as taken, including unknown memory.
     * @param holdings memory held, by item.
     * @param pinned items that requests use.
     * @param quarantined whether all free memory counts as unknown.
     * @param bootId the engine's boot id, or empty before its first report.
     */
    public record Snapshot(
            long capacityBytes,
            long countedBytes,
            Map<String, Holding> holdings,
            Set<String> pinned,
            boolean quarantined,
            Optional<String> bootId) {

        /**
         * Returns the memory that may be reserved now.
         *
         * @return the bytes.
         */
        public long freeBytes() {
            return Math.max(0L, capacityBytes - countedBytes);
        }

        /**
         * Returns whether an item is resident.
         *
         * @param item the item.
         * @return whether its state is resident.
         */
        public boolean isResident(String item) {
            Holding holding = holdings.get(item);
            return holding != null && holding.state() == State.RESIDENT;
        }
    }
}
