package io.waxwingquay.forward;

import io.waxwingquay.transport.generated.SlotRequest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The slots that one request asks for: the engines that it waits for, their denials, and the grant. A slot that is not
 * used is cancelled.
 */
final class SlotWait implements SlotRequester.Listener {

    /** Number of engines that are asked before a request is sent. */
    private static final int MAX_ENGINES = 3;

    /** Time in one engine's queue after which a second engine is asked, if it has this many free slots. */
    private static final long SECOND_ENGINE_AFTER_MILLIS = 100L;

    private static final int MIN_FREE_SLOTS = 2;

    /** Time after which an engine whose grant could not be used is expected to take a request. */
    private static final long UNUSABLE_WAIT_MILLIS = 150L;

    private final SlotRequester requester;
    private final Placement placement;
    private final LongSupplier clockMillis;
    private final Runnable onDecided;
    private final Map<Target, SlotRequester.Call> open = new LinkedHashMap<>();
    private final SlotDenials denials;

    /** Engines whose grants could not be used since the request paused last; asking them again at once would repeat that. */
    private final Set<Target> unusable = new HashSet<>();

    private Optional<SlotRequester.Call> granted = Optional.empty();
    private Optional<SlotRequester.Call> inUse = Optional.empty();
    private SlotUse use = new SlotUse.WhereGranted();
    private OptionalLong askedAtMillis = OptionalLong.empty();
    private OptionalLong queuedAtMillis = OptionalLong.empty();
    private long waitedMillis;
    private int enginesAsked;

    /**
     * Creates the state of a request that has asked for no slot.
     *
     * @param requester sends the calls.
     * @param placement chooses engines and states what the request needs.
     * @param clockMillis the monotonic clock.
     * @param onDecided run when a choice is to be made: a slot is granted, or no engine is left that was asked.
     */
    SlotWait(SlotRequester requester, Placement placement, LongSupplier clockMillis, Runnable onDecided) {
        this.requester = requester;
        this.denials = new SlotDenials(requester);
        this.placement = placement;
        this.clockMillis = clockMillis;
        this.onDecided = onDecided;
    }

    /**
     * Chooses the next step: the engine that has granted a slot if the request may still be sent there, otherwise another
     * one, without those that have denied a slot.
     *
     * @param excluded the replicas that may not be chosen.
     * @param nowMillis the monotonic time.
     */
    Choice choose(Set<Target> excluded, long nowMillis) {
        return granted.map(SlotRequester.Call::target)
                .filter(target -> !excluded.contains(target))
                .filter(target -> placement.mayReceive(target, nowMillis))
                .<Choice>map(Choice.Send::new)
                .orElseGet(() -> chooseOther(excluded, nowMillis));
    }

    private Choice chooseOther(Set<Target> excluded, long nowMillis) {
        if (denials.size() >= MAX_ENGINES) {
            return denied();
        }
        Set<Target> unusableNow = unusableTargets();
        Set<Target> all = new HashSet<>(excluded);
        all.addAll(denials.targets());
        all.addAll(unusableNow);
        Choice choice = placement.choose(all, use, nowMillis);
        if (!unusableNow.isEmpty() && choice instanceof Choice.NoReplica) {
            choice = new Choice.Full(UNUSABLE_WAIT_MILLIS, 0, OptionalLong.empty());
        }
        boolean noneLeft = choice instanceof Choice.Full || choice instanceof Choice.NoReplica;
        return noneLeft && !denials.isEmpty() ? denied() : choice;
    }

    /** Returns the engines whose grants were returned, or have to be, since the request paused last. */
    private Set<Target> unusableTargets() {
        Set<Target> targets = new HashSet<>(unusable);
        granted.ifPresent(call -> targets.add(call.target()));
        return targets;
    }

    private Choice denied() {
        return new Choice.Denied(denials.shortest(), denials.size());
    }

    /** Asks an engine for a slot, and returns an earlier grant that could not be used. */
    void ask(Target target) {
        returnGranted();
        if (askedAtMillis.isEmpty()) {
            askedAtMillis = OptionalLong.of(clockMillis.getAsLong());
        }
        enginesAsked++;
        open.put(target, requester.request(target, placement::slotRequest, this));
    }

    /** Notes that the request is sent to a replica; a slot that was granted there is in use from now on. */
    void sent(Target target) {
        inUse = granted.filter(call -> call.target() == target);
        granted = granted.filter(call -> call.target() != target);
        cancel();
        denials.cancelAll();
        use = new SlotUse.WhereGranted();
    }

    /** Cancels all calls and returns a granted slot, as the request no longer waits for one. */
    void cancel() {
        returnGranted();
        unusable.clear();
        cancelOpen();
        askedAtMillis.ifPresent(sinceMillis -> waitedMillis += clockMillis.getAsLong() - sinceMillis);
        askedAtMillis = OptionalLong.empty();
    }

    /** Returns the slot of the last attempt, of which nothing was sent. */
    void unsent() {
        inUse.ifPresent(requester::cancel);
        inUse = Optional.empty();
    }

    /** Forgets the denials, so that engines are asked again, and cancels the places that were booked with them. */
    void forgetDenials() {
        denials.cancelAll();
    }

    /** Forgets the denials, as the request or its caller comes back at the shortest time that was told. */
    void useShortestDenial() {
        denials.useShortest();
    }

    private void returnGranted() {
        granted.ifPresent(call -> {
            unusable.add(call.target());
            requester.cancel(call);
        });
        granted = Optional.empty();
    }

    /** Returns how long the request has waited for slots in all. */
    long waitedMillis() {
        return waitedMillis;
    }

    /** Returns how many calls for a slot it has made. */
    int enginesAsked() {
        return enginesAsked;
    }

    /** {@inheritDoc} */
    @Override
    public void granted(SlotRequester.Call call) {
        open.remove(call.target());
        cancelOpen();
        granted = Optional.of(call);
        onDecided.run();
    }

    /** {@inheritDoc} */
    @Override
    public void queued(SlotRequester.Call call, long waitMillis) {
        if (call.maxWaitMillis() <= 0) {
            // The side process was told that no time is left, and would have it wait on.
            requester.cancel(call);
            denied(call, new SlotDenial(Math.max(0, waitMillis), SlotDenial.ROOM));
            return;
        }
        long nowMillis = clockMillis.getAsLong();
        queuedAtMillis = OptionalLong.of(queuedAtMillis.orElse(nowMillis));
        if (nowMillis - queuedAtMillis.getAsLong() > SECOND_ENGINE_AFTER_MILLIS) {
            askSecond(nowMillis);
        }
    }

    private void askSecond(long nowMillis) {
        if (open.size() > 1 || open.size() + denials.size() >= MAX_ENGINES) {
            return;
        }
        Set<Target> asked = new HashSet<>(open.keySet());
        asked.addAll(denials.targets());
        asked.addAll(unusable);
        if (placement.choose(asked, use, nowMillis) instanceof Choice.Reserve other
                && placement.freeSlots(other.target(), nowMillis) >= MIN_FREE_SLOTS) {
            ask(other.target());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void denied(SlotRequester.Call call, SlotDenial denial) {
        if (denial.isEngineLost()) {
            // It is not chosen for a while, and does not count among the engines that may deny a slot.
            call.target().engineLost(clockMillis.getAsLong());
        } else {
            denials.add(call, denial);
        }
        ended(call);
    }

    /**
     * Goes on by estimates, without slots of other engines: in a partition each of them would take as long to be found
     * silent.
     */
    @Override
    public void silent(SlotRequester.Call call) {
        use = new SlotUse.Disabled();
        ended(call);
    }

    private void ended(SlotRequester.Call call) {
        open.remove(call.target());
        if (open.isEmpty()) {
            queuedAtMillis = OptionalLong.empty();
            onDecided.run();
        }
    }

    private void cancelOpen() {
        List<SlotRequester.Call> calls = new ArrayList<>(open.values());
        open.clear();
        queuedAtMillis = OptionalLong.empty();
        calls.forEach(requester::cancel);
    }

    /** What a request asks slots for, and where. */
    interface Placement {

        /**
         * Chooses a replica.
         *
         * @param excluded the replicas that may not be chosen, beside those to which the request was sent already.
         * @param use which engines are asked for slots.
         * @param nowMillis the monotonic time.
         */
        Choice choose(Set<Target> excluded, SlotUse use, long nowMillis);

        /** Returns whether a request for which a slot was granted a moment ago may still be sent there. */
        boolean mayReceive(Target target, long nowMillis);

        /** Returns the slots of an engine that are free by the last report of its load. */
        int freeSlots(Target target, long nowMillis);

        /** Creates the message for a slot at this time, without an id. */
        SlotRequest slotRequest(long nowMillis);
    }
}
