package io.waxwingquay.forward;

import io.waxwingquay.net.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** The requests under way. Their time limits are looked at in short steps for as long as there are any. */
final class ActiveRequests {

    /** How exactly time limits are kept. */
    private static final long TICK_MILLIS = 15L;

    /** A look that comes so late follows a stall of this process. */
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

    /** From now on requests that their replicas turn away, or that wait here, are answered at once. */
    void drain() {
        draining = true;
        forEach(Exchange::drain);
    }

    void terminate() {
        forEach(Exchange::terminate);
    }

    /** Some end meanwhile. */
    private void forEach(Consumer<Exchange> action) {
        new ArrayList<>(exchanges).forEach(action);
    }

    /**
     * Failure: this process stands still, and looks at the time before it reads what has come meanwhile. Symptom: requests
     * whose answers lie unread are given up. What has come is read before the next look, so one that is late is passed over.
     * The next one counts however late it is, or a process that is always late would keep no time limit.
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
            // A request that was turned away by its replica since then would wait here too.
            forEach(Exchange::drain);
        }
    }

    /** A fault in one request must not keep the time limits of the others from being looked at. */
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
