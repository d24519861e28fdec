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
 * engine has taken another, a late one no longer fits and is void. Until then, and for {@link #LATE_MILLIS} in a new
 * life, what a doubtful order would load counts as held.
 */
final class OrderBook {

    /** The longest that an unanswered order is known to take, and a margin. */
    static final long LATE_MILLIS = 13_000L;

    private final EngineControl control;
    private final LongSupplier clockMillis;
    private final List<Doubtful> doubtful = new ArrayList<>();
    private boolean open;
    private long life;

    OrderBook(EngineControl control, LongSupplier clockMillis) {
        this.control = control;
        this.clockMillis = clockMillis;
    }

    /** Whether an order waits for its answer. */
    boolean isOpen() {
        return open;
    }

    void give(EngineControl.Order order, Consumer<EngineControl.Answer> done) {
        open = true;
        long lifeAtOrder = life;
        control.issue(order).thenAccept(answer -> {
            open = false;
            if (answer == EngineControl.Answer.UNKNOWN) {
                doubtful.add(new Doubtful(order, lifeAtOrder, clockMillis.getAsLong()));
            }
            done.accept(answer);
        });
    }

    void reported(EngineReport report, boolean otherLife) {
        if (otherLife) {
            life++;
        }
        long nowMillis = clockMillis.getAsLong();
        doubtful.removeIf(each -> nowMillis - each.sinceMillis > LATE_MILLIS);
        doubtful.removeIf(each -> each.life == life && report.ordersTaken() > each.order.expectedOrdersTaken());
    }

    /** Models that an order of unknown fate may still load. */
    List<String> doubtfulLoads() {
        return doubtful.stream()
                .map(Doubtful::order)
                .filter(order -> order.load() && order.adapter().isEmpty())
                .map(EngineControl.Order::model)
                .distinct()
                .toList();
    }

    private record Doubtful(EngineControl.Order order, long life, long sinceMillis) {}
}
