package io.waxwingquay.residency;

import io.waxwingquay.fleet.EngineReport;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Orders given to one engine: one at a time, and those whose fate is not known.
 *
 * <p>Failure: an order gets no answer and is carried out seconds later, perhaps in the engine's next life. Symptom: a
 * model more than memory holds, and the engine crashes. Each order names how many the engine has taken before; once the
 * engine has taken another, a late one no longer fits and is void. Until then, and for {@link #LATE_EXECUTION_MILLIS} in a new
 * life, what a doubtful order would load counts as held.
 */
final class OrderTracker {

    /** The longest that an unanswered order is known to take, and a margin. */
    static final long LATE_EXECUTION_MILLIS = 13_000L;

    private final EngineControl control;
    private final LongSupplier clockMillis;
    private final List<UnresolvedOrder> unresolved = new ArrayList<>();
    private boolean awaitingAnswer;
    private long incarnation;

    OrderTracker(EngineControl control, LongSupplier clockMillis) {
        this.control = control;
        this.clockMillis = clockMillis;
    }

    /** Whether an order waits for its answer. */
    boolean isAwaitingAnswer() {
        return awaitingAnswer;
    }

    void issue(EngineControl.Order order, Consumer<EngineControl.Answer> onAnswer) {
        awaitingAnswer = true;
        long orderIncarnation = incarnation;
        control.issue(order).thenAccept(answer -> {
            awaitingAnswer = false;
            if (answer == EngineControl.Answer.UNKNOWN) {
                unresolved.add(new UnresolvedOrder(order, orderIncarnation, clockMillis.getAsLong()));
            }
            onAnswer.accept(answer);
        });
    }

    void onReport(EngineReport report, boolean restarted) {
        if (restarted) {
            incarnation++;
        }
        long nowMillis = clockMillis.getAsLong();
        unresolved.removeIf(each -> nowMillis - each.answeredMillis > LATE_EXECUTION_MILLIS);
        unresolved.removeIf(
                each -> each.incarnation == incarnation && report.ordersTaken() > each.order.expectedOrdersTaken());
    }

    /** Models that an order of unknown fate may still load. */
    List<String> unresolvedLoads() {
        return unresolved.stream()
                .map(UnresolvedOrder::order)
                .filter(order -> order.load() && order.adapter().isEmpty())
                .map(EngineControl.Order::model)
                .distinct()
                .toList();
    }

    private record UnresolvedOrder(EngineControl.Order order, long incarnation, long answeredMillis) {}
}
