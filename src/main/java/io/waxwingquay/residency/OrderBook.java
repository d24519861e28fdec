package io.waxwingquay.residency;

import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.manifest.Engine;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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

    /** A load that should be over has at least this to go. */
    private static final long LEAST_MILLIS = 50L;

    private final EngineControl control;
    private final LongSupplier clockMillis;
    private final List<Doubtful> doubtful = new ArrayList<>();
    private boolean open;
    private long bornMillis;
    private Optional<Loading> loading = Optional.empty();

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
        long bornAtOrder = bornMillis;
        control.give(order).thenAccept(answer -> {
            open = false;
            if (answer == EngineControl.Answer.UNKNOWN) {
                doubtful.add(new Doubtful(order, bornAtOrder, clockMillis.getAsLong()));
            }
            boolean mayLoad = answer == EngineControl.Answer.TAKEN || answer == EngineControl.Answer.UNKNOWN;
            if (mayLoad && order.load() && order.adapter().isEmpty()) {
                loading = Optional.of(new Loading(order.model(), clockMillis.getAsLong()));
            }
            done.accept(answer);
        });
    }

    void reported(EngineReport report) {
        bornMillis = report.bornMillis();
        long nowMillis = clockMillis.getAsLong();
        doubtful.removeIf(each -> nowMillis - each.sinceMillis > LATE_MILLIS);
        doubtful.removeIf(each -> each.bornMillis == bornMillis && report.ordersTaken() > each.order.afterOrders());
        loading = loading.filter(each -> report.model(each.model).isEmpty())
                .filter(each -> report.ordering() || isDoubtful(each.model));
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

    Optional<String> loading(EngineReport report) {
        return report.ordering() ? loading.map(Loading::model) : Optional.empty();
    }

    /** How long the load under way is expected to take still. */
    long loadingMillis(Optional<Engine> engine, EngineReport report, String name) {
        long elapsedMillis = loading.filter(each -> each.model.equals(name))
                .map(each -> clockMillis.getAsLong() - each.sinceMillis)
                .orElse(0L);
        boolean near = report.onDisk().contains(name) || report.inHostMemory().contains(name);
        return engine.flatMap(known -> known.model(name))
                .map(model -> near ? model.diskLoadMillis() : model.storeLoadMillis())
                .map(allMillis -> Math.max(LEAST_MILLIS, allMillis - elapsedMillis))
                .orElse(0L);
    }

    private boolean isDoubtful(String model) {
        return doubtfulLoads().contains(model);
    }

    private record Doubtful(EngineControl.Order order, long bornMillis, long sinceMillis) {}

    private record Loading(String model, long sinceMillis) {}
}
