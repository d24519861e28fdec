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
final class AdapterRequester {

    /** A datagram may be lost; an answer normally takes 20 to 30 ms. */
    private static final long RESEND_MILLIS = 60L;

    private static final int MAX_SENDS = 5;

    private final EventLoop loop;
    private final BiConsumer<Target, Call> sender;
    private final Map<Key, Call> pendingByKey = new HashMap<>();
    private final Map<Long, Call> pendingById = new HashMap<>();
    private long lastId;

    /**
     * A desk.
     *
     * @param loop where everything runs.
     * @param sender sends the call to the process beside a target's engine.
     */
    AdapterRequester(EventLoop loop, BiConsumer<Target, Call> sender) {
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
    void request(Target target, String model, String adapter, Consumer<Boolean> done) {
        Key key = new Key(target, model, adapter);
        Call call = pendingByKey.get(key);
        if (call == null) {
            call = new Call(++lastId, key);
            pendingByKey.put(key, call);
            pendingById.put(call.id, call);
            send(call);
        }
        call.waiters.add(done);
    }

    /** An answer has come. */
    void answered(long id, boolean present) {
        Call call = pendingById.get(id);
        if (call != null) {
            complete(call, present);
        }
    }

    private void send(Call call) {
        if (pendingById.get(call.id) != call) {
            return;
        }
        if (call.sendCount == MAX_SENDS) {
            complete(call, false);
            return;
        }
        call.sendCount++;
        sender.accept(call.key.target, call);
        loop.schedule(RESEND_MILLIS, () -> send(call));
    }

    private void complete(Call call, boolean present) {
        pendingById.remove(call.id);
        pendingByKey.remove(call.key);
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
        private int sendCount;

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
