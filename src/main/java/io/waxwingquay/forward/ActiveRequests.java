package io.waxwingquay.forward;

import io.waxwingquay.net.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Holds the requests in progress and checks their deadlines at short intervals while there are any. */
final class ActiveRequests {

    /** Interval between two checks of deadlines. */
    private static final long TICK_MILLIS = 15L;

    /** Time between two ticks above which this process is taken to have stalled. */
    private static final long STALL_MILLIS = 200L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final EventLoop loop;
    private final Set<Exchange> exchanges = new HashSet<>();
    private boolean tickScheduled;
    private boolean draining;
    private long lastTickMillis;
    private boolean skippedLastTick;

    ActiveRequests(EventLoop loop) {
        this.loop = loop;
    }

    void add(Exchange exchange) {
        exchanges.add(exchange);
        if (!tickScheduled) {
            tickScheduled = true;
            skippedLastTick = false;
            lastTickMillis = EventLoop.nowMillis();
            loop.schedule(TICK_MILLIS, this::tick);
        }
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
        if (exchanges.isEmpty()) {
            tickScheduled = false;
            return;
        }
        loop.schedule(TICK_MILLIS, this::tick);
        long nowMillis = EventLoop.nowMillis();
        skippedLastTick = !skippedLastTick && nowMillis - lastTickMillis > STALL_MILLIS;
        lastTickMillis = nowMillis;
        if (skippedLastTick) {
            return;
        }
        exchanges.stream()
                .sorted(Comparator.comparingLong(exchange -> exchange.slackMillis(nowMillis)))
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
