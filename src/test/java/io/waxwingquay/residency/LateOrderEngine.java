package io.waxwingquay.residency;

import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.fleet.ReplicaRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * An engine that leaves orders unanswered and executes them later, as soon as its count of accepted orders matches.
 * It records whether it was ever ordered to hold more than it has room for.
 */
final class LateOrderEngine implements EngineControl {

    private static final long ANSWER_TIMEOUT_MILLIS = 20L;

    private final int modelRoom;
    private final int adapterSlots;
    private final Set<String> onDisk;
    private final Map<String, Set<String>> adaptersByModel = new TreeMap<>();
    private final List<UnansweredOrder> unanswered = new ArrayList<>();
    private Executor loop = Runnable::run;
    private long bornMillis = 1;
    private long ordersTaken;
    private long reports;
    private boolean answering = true;
    private boolean overcommitted;
    private int conflicts;
    private CompletableFuture<Boolean> reportsReleased = CompletableFuture.completedFuture(true);
    private String id = "i-1";
    private boolean identified;

    LateOrderEngine(int modelRoom, int adapterSlots, Set<String> onDisk) {
        this.modelRoom = modelRoom;
        this.adapterSlots = adapterSlots;
        this.onDisk = onDisk;
    }

    /** Begins an incarnation that has accepted some orders, of which it shows what it holds now. */
    synchronized void begin(long ordersTakenBefore, String... models) {
        bornMillis++;
        ordersTaken = ordersTakenBefore;
        answering = true;
        adaptersByModel.clear();
        List.of(models).forEach(model -> adaptersByModel.put(model, new TreeSet<>()));
    }

    /** Sets the loop on which the process that gives orders expects its answers. */
    synchronized void answerOn(Executor newLoop) {
        loop = newLoop;
    }

    synchronized void stopAnswering() {
        answering = false;
    }

    synchronized int unansweredOrders() {
        return unanswered.size();
    }

    /** Gives the current incarnation another id; by default an engine keeps its id. */
    synchronized void rename(String newId) {
        id = newId;
        identified = false;
    }

    /** Returns whether the engine was asked for its current id. */
    synchronized boolean isIdentified() {
        return identified;
    }

    synchronized long reports() {
        return reports;
    }

    synchronized boolean holds(String model, String adapter) {
        return adaptersByModel.getOrDefault(model, Set.of()).contains(adapter);
    }

    synchronized boolean holds(String model) {
        return adaptersByModel.containsKey(model);
    }

    synchronized boolean wasOvercommitted() {
        return overcommitted;
    }

    /** Has reports made from now on arrive only after {@link #releaseReports}. */
    synchronized void holdReports() {
        reportsReleased = new CompletableFuture<>();
    }

    /** Lets the reports arrive that were made meanwhile. */
    synchronized void releaseReports() {
        reportsReleased.complete(true);
    }

    /** Returns the number of orders that stated another count of accepted orders than the current one. */
    synchronized int conflicts() {
        return conflicts;
    }

    /** {@inheritDoc} */
    @Override
    public synchronized CompletableFuture<EngineReport> report() {
        reports++;
        List<ReplicaRecord.ResidentModel> models = adaptersByModel.entrySet().stream()
                .map(each -> new ReplicaRecord.ResidentModel(each.getKey(), List.copyOf(each.getValue())))
                .toList();
        EngineReport report = new EngineReport(
                bornMillis, ordersTaken, false, 0, 0, 0, 0, models, Set.of(), Set.of(), onDisk, false, List.of());
        return reportsReleased.thenApplyAsync(released -> report, loop);
    }

    /** {@inheritDoc} */
    @Override
    public synchronized CompletableFuture<String> identify() {
        identified = true;
        String current = id;
        return CompletableFuture.supplyAsync(() -> current, loop);
    }

    /** {@inheritDoc} */
    @Override
    public synchronized CompletableFuture<Answer> issue(Order order, Optional<String> replicaId) {
        if (!answering) {
            unanswered.add(new UnansweredOrder(order, replicaId));
            Executor timeout = CompletableFuture.delayedExecutor(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, loop);
            return CompletableFuture.supplyAsync(() -> Answer.UNKNOWN, timeout);
        }
        boolean isExpected = isExpected(order, replicaId);
        conflicts += isExpected ? 0 : 1;
        if (isExpected) {
            execute(order);
            executeLateOrders();
        }
        return CompletableFuture.supplyAsync(() -> isExpected ? Answer.TAKEN : Answer.CONFLICT, loop);
    }

    private boolean isExpected(Order order, Optional<String> replicaId) {
        return order.expectedOrdersTaken() == ordersTaken
                && replicaId.filter(named -> !named.equals(id)).isEmpty();
    }

    private void executeLateOrders() {
        Optional<UnansweredOrder> next = unanswered.stream()
                .filter(each -> isExpected(each.order, each.replicaId))
                .findFirst();
        next.ifPresent(each -> {
            unanswered.remove(each);
            execute(each.order);
            executeLateOrders();
        });
    }

    private void execute(Order order) {
        ordersTaken++;
        if (order.adapter().isPresent()) {
            Set<String> adapters = adaptersByModel.getOrDefault(order.model(), new TreeSet<>());
            order.adapter().ifPresent(order.load() ? adapters::add : adapters::remove);
        } else if (order.load()) {
            adaptersByModel.putIfAbsent(order.model(), new TreeSet<>());
        } else {
            adaptersByModel.remove(order.model());
        }
        int adapters = adaptersByModel.values().stream().mapToInt(Set::size).sum();
        overcommitted |= adaptersByModel.size() > modelRoom || adapters > adapterSlots;
    }

    private record UnansweredOrder(Order order, Optional<String> replicaId) {}
}
