package io.waxwingquay.forward;

import io.waxwingquay.net.Cancellable;
import io.waxwingquay.net.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Holds the requests in progress and checks their deadlines while there are any: those of requests that wait here at
 * short intervals, those of requests that run at a replica less often. Each check wakes the process up, also while all
 * requests only pass events on.
 */
final class ActiveRequests {

    /** The shortest interval between two checks. */
    private static final long MIN_TICK_MILLIS = 15L;

    /** The longest interval, within which a silent replica is noticed or a caller that is about to leave. */
    private static final long MAX_TICK_MILLIS = 45L;

    /** Time between two ticks above which this process is taken to have stalled. */
    private static final long STALL_MILLIS = 200L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final EventLoop loop;
    private final Set<Exchange> exchanges = new HashSet<>();
    private Cancellable scheduledTick = () -> {};
    private long nextTickMillis = Long.MAX_VALUE;
    private boolean draining;
    private long lastTickMillis;
    private boolean skippedLastTick;

    ActiveRequests(EventLoop loop) {
        this.loop = loop;
    }

    void add(Exchange exchange) {
        exchanges.add(exchange);
        if (nextTickMillis == Long.MAX_VALUE) {
            skippedLastTick = false;
            lastTickMillis = EventLoop.nowMillis();
            checkIn(MIN_TICK_MILLIS);
        }
    }

    /** Has the deadlines checked after this delay, if no check is due before. */
    void checkIn(long delayMillis) {
        long tickMillis = EventLoop.nowMillis() + Math.max(MIN_TICK_MILLIS, delayMillis);
        if (tickMillis < nextTickMillis) {
            scheduledTick.cancel();
            nextTickMillis = tickMillis;
            scheduledTick = loop.schedule(tickMillis - EventLoop.nowMillis(), this::tick);
        }
    }

    /**
     * Returns the delay until the next check.
     *
     * @param earliestMillis the earliest time at which a request has to be checked.
     * @param nowMillis the current time.
     */
    static long delayMillis(long earliestMillis, long nowMillis) {
        return Math.max(MIN_TICK_MILLIS, Math.min(MAX_TICK_MILLIS, earliestMillis - nowMillis));
    }

    void remove(Exchange exchange) {
        exchanges.remove(exchange);
    }

    int count() {
        return exchanges.size();
    }

    List<String> ids() {
        return exchanges.stream().map(exchange -> exchange.head().id()).toList();
    }

    /** Returns the states of the requests, in the order of {@link #ids}. */
    List<String> states() {
        return exchanges.stream().map(exchange -> exchange.state().name()).toList();
    }

    /**
     * Rejects the requests that wait here, and from now on each one that its replica rejects, instead of letting them
     * wait.
     */
    void drain() {
        draining = true;
        forEach(Exchange::drain);
    }

    void terminate() {
        forEach(Exchange::terminate);
    }

    /** Iterates over a copy, as requests may end during the iteration. */
    private void forEach(Consumer<Exchange> action) {
        new ArrayList<>(exchanges).forEach(action);
    }

    /**
     * Checks all deadlines. The first tick after a stall of this process is skipped: responses that arrived during the
     * stall are not read yet, and their requests would be given up. They are read before the next tick, which counts
     * however late it is; otherwise a process that is always late would enforce no deadline.
     */
    private void tick() {
        nextTickMillis = Long.MAX_VALUE;
        if (exchanges.isEmpty()) {
            return;
        }
        long nowMillis = EventLoop.nowMillis();
        skippedLastTick = !skippedLastTick && nowMillis - lastTickMillis > STALL_MILLIS;
        lastTickMillis = nowMillis;
        if (skippedLastTick) {
            checkIn(MIN_TICK_MILLIS);
            return;
        }
        checkAll(nowMillis);
        long earliestMillis = exchanges.stream()
                .mapToLong(exchange -> exchange.queuedRequest().nextCheckMillis())
                .min()
                .orElse(nowMillis);
        checkIn(delayMillis(earliestMillis, nowMillis));
    }

    private void checkAll(long nowMillis) {
        exchanges.stream()
                .sorted(Comparator.comparing(Exchange::queuedRequest, QueuedRequest.checkOrder(nowMillis)))
                .toList()
                .forEach(exchange -> tick(exchange, nowMillis));
        if (draining) {
            // A request that its replica has rejected since the drain began would wait here too.
            forEach(Exchange::drain);
        }
    }

    /** Isolates failures, so that one request can't keep the deadlines of the others from being checked. */
    private static void tick(Exchange exchange, long nowMillis) {
        try {
            exchange.tick(nowMillis);
        } catch (RuntimeException failure) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "forward: a request failed id=" + exchange.head().id(),
                    failure);
        }
    }
}
