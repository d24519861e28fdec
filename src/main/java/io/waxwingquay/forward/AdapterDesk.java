package io.waxwingquay.forward;

import io.waxwingquay.net.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Asks the processes beside engines for adapters that waiting requests need, once for all that wait for the same one.
 */
final class AdapterDesk {

    /** A datagram may be lost; an answer normally takes 20 to 30 ms. */
    private static final long ASK_AGAIN_MILLIS = 60L;

    private static final int MOST_ASKS = 5;

    private final EventLoop loop;
    private final BiConsumer<Target, Call> sender;
    private final Map<Key, Call> open = new HashMap<>();
    private final Map<Long, Call> byId = new HashMap<>();
    private long lastId;

    /**
     * A desk.
     *
     * @param loop where everything runs.
     * @param sender sends the call to the process beside a target's engine.
     */
    AdapterDesk(EventLoop loop, BiConsumer<Target, Call> sender) {
        this.loop = loop;
        this.sender = sender;
    }

    /**
     * Asks for an adapter.
     *
     * @param target where.
     * @param model the model.
     * @param adapter the adapter.
     * @param done told whether it is there.
     */
    void need(Target target, String model, String adapter, Consumer<Boolean> done) {
        Key key = new Key(target, model, adapter);
        Call call = open.get(key);
        if (call == null) {
            call = new Call(++lastId, key);
            open.put(key, call);
            byId.put(call.id, call);
            ask(call);
        }
        call.waiters.add(done);
    }

    /** An answer has come. */
    void replied(long id, boolean present) {
        Call call = byId.get(id);
        if (call != null) {
            settle(call, present);
        }
    }

    private void ask(Call call) {
        if (byId.get(call.id) != call) {
            return;
        }
        if (call.asks == MOST_ASKS) {
            settle(call, false);
            return;
        }
        call.asks++;
        sender.accept(call.key.target, call);
        loop.schedule(ASK_AGAIN_MILLIS, () -> ask(call));
    }

    private void settle(Call call, boolean present) {
        byId.remove(call.id);
        open.remove(call.key);
        if (present) {
            call.key.target.adapterPresent(call.key.model, call.key.adapter);
        }
        new ArrayList<>(call.waiters).forEach(waiter -> waiter.accept(present));
    }

    private record Key(Target target, String model, String adapter) {}

    /** One call for an adapter. */
    static final class Call {

        private final long id;
        private final Key key;
        private final List<Consumer<Boolean>> waiters = new ArrayList<>();
        private int asks;

        private Call(long id, Key key) {
            this.id = id;
            this.key = key;
        }

        long id() {
            return id;
        }

        String model() {
            return key.model;
        }

        String adapter() {
            return key.adapter;
        }
    }
}
