package io.waxwingquay.residency;

import io.waxwingquay.fleet.EngineReport;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Tracks the orders issued to one engine: the current one, and those whose outcome is unknown.
 *
 * <p>Failure: an order gets no answer and is executed seconds later, possibly in the engine's next incarnation.
 * Symptom: the models exceed the memory, and the engine crashes. Each order states how many orders the engine has
 * accepted before; once the engine has accepted another one, a late order no longer matches and is void. Until then,
 * and for {@link #LATE_EXECUTION_MILLIS} after a restart, memory is kept free for the model that an unresolved order
 * would load, and a slot for each adapter. An order that is addressed to an incarnation by its id is void once the engine
 * has another id; most restarted engines have, but not all.
 */
final class OrderTracker {

    /** The longest known delay of an unanswered order, and a margin. */
    static final long LATE_EXECUTION_MILLIS = 13_000L;

    private final EngineControl control;
    private final LongSupplier clockMillis;
    private final List<UnresolvedOrder> unresolved = new ArrayList<>();
    private Optional<String> replicaId = Optional.empty();
    private boolean awaitingAnswer;
    private long incarnation;

    OrderTracker(EngineControl control, LongSupplier clockMillis) {
        this.control = control;
        this.clockMillis = clockMillis;
    }

    /** Returns whether an order is waiting for its answer. */
    boolean isAwaitingAnswer() {
        return awaitingAnswer;
    }

    void issue(EngineControl.Order order, Consumer<EngineControl.Answer> onAnswer) {
        awaitingAnswer = true;
        long orderIncarnation = incarnation;
        Optional<String> addressee = replicaId;
        control.issue(order, addressee).thenAccept(answer -> {
            awaitingAnswer = false;
            if (answer == EngineControl.Answer.REFUSED && replicaId.equals(addressee)) {
                // The engine may have restarted with another id since its last report.
                replicaId = Optional.empty();
            }
            if (answer == EngineControl.Answer.UNKNOWN) {
                unresolved.add(new UnresolvedOrder(order, addressee, orderIncarnation, clockMillis.getAsLong()));
            }
            onAnswer.accept(answer);
        });
    }

    void onReport(EngineReport report, boolean restarted) {
        if (restarted) {
            incarnation++;
            replicaId = Optional.empty();
        }
        long nowMillis = clockMillis.getAsLong();
        unresolved.removeIf(each -> nowMillis - each.answeredMillis > LATE_EXECUTION_MILLIS);
        unresolved.removeIf(
                each -> each.incarnation == incarnation && report.ordersTaken() > each.order.expectedOrdersTaken());
    }

    /** Returns whether the id of the current incarnation is known, so that orders are addressed to it alone. */
    boolean isIdentified() {
        return replicaId.isPresent();
    }

    /**
     * Sets the id of the current incarnation. Orders that are addressed to another one are refused by it and are void.
     */
    void onIdentified(String id) {
        replicaId = Optional.of(id);
        unresolved.removeIf(
                each -> each.addressee.filter(other -> !other.equals(id)).isPresent());
    }

    /** Returns the models that an order with an unknown outcome may still load. */
    List<String> unresolvedLoads() {
        return unresolved.stream()
                .map(UnresolvedOrder::order)
                .filter(order -> order.load() && order.adapter().isEmpty())
                .map(EngineControl.Order::model)
                .distinct()
                .toList();
    }

    /**
     * Returns the number of adapter slots to leave free for orders of earlier incarnations. Within one incarnation the
     * count in an order already rules out that it is executed in addition to the one issued after it.
     */
    int reservedAdapterSlots(EngineReport report) {
        return (int) unresolved.stream()
                .filter(each -> each.incarnation != incarnation)
                .map(UnresolvedOrder::order)
                .filter(order -> order.load() && order.expectedOrdersTaken() >= report.ordersTaken())
                .filter(order -> order.adapter()
                        .filter(name -> !report.hasAdapter(order.model(), name))
                        .isPresent())
                .map(order -> Map.entry(order.model(), order.adapter()))
                .distinct()
                .count();
    }

    /** Returns the orders whose outcome is unknown, for logs: operation, model and adapter, and the expected count. */
    List<String> unresolvedOrders() {
        return unresolved.stream()
                .map(UnresolvedOrder::order)
                .map(EngineControl.Order::toText)
                .toList();
    }

    private record UnresolvedOrder(
            EngineControl.Order order, Optional<String> addressee, long incarnation, long answeredMillis) {}
}
