package io.waxwingquay.forward;

import io.waxwingquay.common.Delayer;
import io.waxwingquay.transport.generated.SlotDecision;
import io.waxwingquay.transport.generated.SlotReply;
import io.waxwingquay.transport.generated.SlotRequest;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

/**
 * Asks the side processes of engines for slots, and repeats each call until it is decided. Not thread-safe: everything
 * runs on the event loop.
 */
final class SlotRequester {

    /** Interval after which a call is sent again, as a datagram may be lost; a reply normally takes 3 to 7 ms. */
    static final long RESEND_MILLIS = 60L;

    /** Number of datagrams without a reply after which a side process counts as silent. */
    private static final int MAX_UNANSWERED = 3;

    /** How long a late grant of an ended call is recognised, well above the 250 ms for which a grant is valid. */
    private static final long ENDED_RETENTION_MILLIS = 1_000L;

    private final Channel channel;
    private final Delayer delayer;
    private final LongSupplier clockMillis;
    private final SlotMetrics metrics;
    private final Map<Long, Call> open = new HashMap<>();
    private final Map<Long, Call> unused = new HashMap<>();
    private long lastId;

    /**
     * Creates a requester without open calls.
     *
     * @param channel sends datagrams to side processes.
     * @param delayer runs tasks later.
     * @param clockMillis the monotonic clock.
     * @param metrics counts calls by outcome.
     * @param firstId a number before the first id, random so that ids of an earlier lifetime are not reused.
     */
    SlotRequester(Channel channel, Delayer delayer, LongSupplier clockMillis, SlotMetrics metrics, long firstId) {
        this.channel = channel;
        this.delayer = delayer;
        this.clockMillis = clockMillis;
        this.metrics = metrics;
        this.lastId = firstId;
    }

    /**
     * Requests a slot.
     *
     * @param target the replica whose engine is to run the request.
     * @param terms creates the message at a time, without an id.
     * @param listener notified of the replies, never before this method has returned.
     * @return the open call.
     */
    Call request(Target target, LongFunction<SlotRequest> terms, Listener listener) {
        Call call = new Call(++lastId, target, terms, listener, clockMillis.getAsLong());
        open.put(call.id, call);
        metrics.requested();
        send(call);
        return call;
    }

    /** Cancels a call, or returns its slot if that was granted and is not used. */
    void cancel(Call call) {
        abandon(call);
        channel.cancel(call.target, call.id);
    }

    /**
     * Processes a reply. A grant of a call that has ended without the use of a slot is cancelled; any other reply to an
     * unknown call is ignored, also the repeated grant of a slot that is in use.
     */
    void replied(SlotReply reply) {
        Call call = open.get(reply.getId());
        if (reply.getDecision() == null) {
            // A decision of a newer version of the protocol, which counts as no reply.
            return;
        }
        if (call != null) {
            decide(call, reply);
        } else if (reply.getDecision() == SlotDecision.GRANTED && unused.containsKey(reply.getId())) {
            channel.cancel(unused.get(reply.getId()).target, reply.getId());
        }
    }

    private void decide(Call call, SlotReply reply) {
        long nowMillis = clockMillis.getAsLong();
        call.unanswered = 0;
        call.target.slotReplied(reply.getLoad(), nowMillis);
        switch (reply.getDecision()) {
            case GRANTED -> {
                open.remove(call.id);
                metrics.granted(nowMillis - call.startedMillis);
                call.noteAdapterPresent();
                call.listener.granted(call);
            }
            case QUEUED -> call.listener.queued(call, reply.getWaitMillis());
            case DENIED -> {
                abandon(call);
                metrics.denied();
                call.listener.denied(call, SlotDenial.of(reply));
            }
            default -> throw new IllegalStateException("unknown decision " + reply.getDecision());
        }
    }

    private void send(Call call) {
        if (open.get(call.id) != call) {
            return;
        }
        if (call.unanswered == MAX_UNANSWERED) {
            giveUp(call);
            return;
        }
        call.unanswered++;
        channel.request(call.target, call.nextMessage(clockMillis.getAsLong()));
        delayer.schedule(RESEND_MILLIS, () -> send(call));
    }

    /** Ends a call to a silent side process; the cancellation counts where only the replies are lost. */
    private void giveUp(Call call) {
        cancel(call);
        call.target.slotRequestsUnanswered(clockMillis.getAsLong());
        metrics.silent();
        call.listener.silent(call);
    }

    private void abandon(Call call) {
        open.remove(call.id);
        if (unused.put(call.id, call) == null) {
            delayer.schedule(ENDED_RETENTION_MILLIS, () -> unused.remove(call.id));
        }
    }

    /** Sends datagrams to the side processes of engines. */
    interface Channel {

        /** Sends a request for a slot. */
        void request(Target target, SlotRequest request);

        /** Sends the cancellation of a request for a slot. */
        void cancel(Target target, long id);
    }

    /** Notified of the replies to a call; each of them but {@link #queued} ends the call. */
    interface Listener {

        /** The slot was granted; it is to be used at once, or cancelled. */
        void granted(Call call);

        /** The request waits, for about this long. */
        void queued(Call call, long waitMillis);

        /** The slot was denied. */
        void denied(Call call, SlotDenial denial);

        /** The side process did not reply. */
        void silent(Call call);
    }

    /** A request for a slot of one engine. */
    static final class Call {

        private final long id;
        private final Target target;
        private final LongFunction<SlotRequest> terms;
        private final Listener listener;
        private final long startedMillis;
        private int unanswered;
        private SlotRequest message;

        private Call(long id, Target target, LongFunction<SlotRequest> terms, Listener listener, long startedMillis) {
            this.id = id;
            this.target = target;
            this.terms = terms;
            this.listener = listener;
            this.startedMillis = startedMillis;
        }

        private SlotRequest nextMessage(long nowMillis) {
            message = terms.apply(nowMillis).setId(id);
            return message;
        }

        /** Notes the adapter of the request, which the side process loads before it grants the slot. */
        private void noteAdapterPresent() {
            if (message.isSetAdapter()) {
                target.adapterPresent(message.getModel(), message.getAdapter());
            }
        }

        Target target() {
            return target;
        }

        /** Returns how much longer the request could wait when its message was sent last. */
        long maxWaitMillis() {
            return message.getMaxWaitMillis();
        }
    }
}
