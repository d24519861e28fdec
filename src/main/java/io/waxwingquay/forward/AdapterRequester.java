package io.waxwingquay.forward;

import io.waxwingquay.net.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Asks the side processes of engines to load adapters that waiting requests need. Requests for the same adapter share
 * one call.
 */
final class AdapterRequester {

    /** Interval after which a call is resent, as a datagram may be lost; an answer normally takes 20 to 30 ms. */
    private static final long RESEND_MILLIS = 60L;

    private static final int MAX_SENDS = 5;

    private final EventLoop loop;
    private final BiConsumer<Target, Call> sender;
    private final Map<Key, Call> pendingByKey = new HashMap<>();
    private final Map<Long, Call> pendingById = new HashMap<>();
    private long lastId;

    /**
     * Creates a requester without open calls.
     *
     * @param loop the loop on which everything runs.
     * @param sender sends a call to the side process of the target's engine.
     */
    AdapterRequester(EventLoop loop, BiConsumer<Target, Call> sender) {
        this.loop = loop;
        this.sender = sender;
    }

    /**
     * Requests an adapter, and joins the open call if there is one for the same adapter.
     *
     * @param target the replica whose engine is to load it.
     * @param model the model.
     * @param adapter the adapter.
     * @param done receives whether the adapter is present.
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

    /** Completes a call with the answer of the side process; ignored if the call is complete already. */
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

    /** One call for an adapter, resent until it is answered or given up. */
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
