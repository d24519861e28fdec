package io.waxwingquay.residency;

import io.waxwingquay.common.Delayer;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.fleet.RunningRequest;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.reservation.AdapterGate;
import io.waxwingquay.reservation.EngineOccupancy;
import io.waxwingquay.reservation.PromptPacer;
import io.waxwingquay.reservation.ReservationServer;
import io.waxwingquay.reservation.SlotBook;
import io.waxwingquay.transport.generated.PeerDatagram;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/** Grants the slots of one engine to entries while there are enough of them, and otherwise lets them send as they like. */
final class SlotGranting {

    /** The interval at which a free slot is looked for while requests wait. */
    static final long WAITING_MILLIS = 50L;

    /** A report that is younger shows about what a further poll would. */
    private static final long FRESH_MILLIS = 8L;

    /**
     * The time after the start in which entries may not all have sent an update, but may still know from the previous
     * process that slots are granted.
     */
    static final long STARTING_MILLIS = 3_000L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.residency");

    private final PeerUpdates peers;
    private final ReservationServer server;
    private final PromptPacer pacer;
    private final LongSupplier clock;
    private final Delayer timer;
    private final Runnable poll;
    private final GrantingRule rule = new GrantingRule();
    private final long startedMillis;
    private boolean slotsKnown;
    private Availability availability = Availability.UNKNOWN;
    private boolean timerSet;
    private long loggedCount;
    private long reportedAtMillis;

    /**
     * Creates the component without slots.
     *
     * @param peers counts the entries.
     * @param server answers the requests.
     * @param pacer takes the running requests of each report.
     * @param clock the monotonic time.
     * @param timer runs a task later.
     * @param poll polls the engine.
     */
    SlotGranting(
            PeerUpdates peers,
            ReservationServer server,
            PromptPacer pacer,
            LongSupplier clock,
            Delayer timer,
            Runnable poll) {
        this.peers = peers;
        this.server = server;
        this.pacer = pacer;
        this.clock = clock;
        this.timer = timer;
        this.poll = poll;
        this.startedMillis = clock.getAsLong();
    }

    /**
     * Creates the component with an empty book of slots.
     *
     * @param peers counts the entries.
     * @param pacer spaces the prompts.
     * @param adapters has adapters loaded.
     * @param clock the monotonic time.
     * @param timer runs a task later.
     * @param poll polls the engine.
     * @param sender sends the replies.
     * @return the component.
     */
    static SlotGranting withBook(
            PeerUpdates peers,
            PromptPacer pacer,
            AdapterGate adapters,
            LongSupplier clock,
            Delayer timer,
            Runnable poll,
            EngineManager.Sender sender) {
        SlotBook book = new SlotBook.Default(pacer, adapters, clock, RandomGenerator.of("L64X128MixRandom"));
        ReservationServer server =
                new ReservationServer(book, (entry, reply) -> sender.send(entry, PeerDatagram.slotReply(reply)));
        return new SlotGranting(peers, server, pacer, clock, timer, poll);
    }

    /** Sets the engine's specification; empty if it is not known. */
    void configure(Optional<Engine> engine) {
        slotsKnown = engine.isPresent();
        rule.configure(engine.map(known -> OptionalInt.of(known.slots())).orElse(OptionalInt.empty()));
        engine.ifPresent(known -> server.configure(known.slots()));
    }

    /** Returns whether updates say that the slots are granted. */
    boolean isInForce() {
        return rule.isInForce();
    }

    /** Handles a request for a slot or its cancellation. */
    void onDatagram(HostPort from, PeerDatagram datagram) {
        if (datagram.isSetSlotCancel()) {
            server.cancel(from, datagram.getSlotCancel());
        } else if (isDeciding()) {
            server.request(from, datagram.getSlotRequest());
            watchWaiting();
        } else if (availability == Availability.LEAVING) {
            server.denyLeaving(from, datagram.getSlotRequest());
        } else {
            server.grantUncounted(from, datagram.getSlotRequest());
        }
    }

    /** Returns whether requests are decided here: while granting is in force, and before it can be known. */
    private boolean isDeciding() {
        return rule.isInForce()
                || slotsKnown
                        && availability != Availability.UNKNOWN
                        && clock.getAsLong() - startedMillis < STARTING_MILLIS;
    }

    /** Takes a fresh report of the engine, with the models that requests may be routed to. */
    void onReport(EngineReport report, Set<String> routableModels) {
        reportedAtMillis = clock.getAsLong();
        availability = report.draining() ? Availability.LEAVING : Availability.SERVING;
        updateRule();
        if (!isDeciding()) {
            return;
        }
        pacer.observed(report.bornMillis(), report.runs(), clock.getAsLong());
        server.observe(new EngineOccupancy(
                report.bornMillis(),
                !report.draining(),
                report.running(),
                report.waiting(),
                report.kvUsedTokens(),
                report.kvTotalTokens(),
                report.runs().stream().map(RunningRequest::attemptId).collect(Collectors.toUnmodifiableSet()),
                routableModels));
    }

    private void updateRule() {
        long nowMillis = clock.getAsLong();
        int entries = peers.entryAddresses(nowMillis).size();
        if (rule.update(entries, nowMillis)) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "residency: granting changes in_force={0} entries={1}",
                    rule.isInForce(),
                    entries);
        }
    }

    /** Denies all waiting requests, as the engine was lost. */
    void onEngineLost() {
        availability = Availability.LEAVING;
        server.engineLost();
    }

    /** Logs the number of slots granted since the last time, if there are any. */
    void logState() {
        long granted = server.grantedCount() - loggedCount;
        loggedCount = server.grantedCount();
        if (granted > 0) {
            LOG.log(System.Logger.Level.INFO, "residency: slots granted={0} waiting={1}", granted, server.hasWaiting());
        }
    }

    /** Polls the engine and decides again soon, for as long as requests wait. */
    private void watchWaiting() {
        if (timerSet || !server.hasWaiting()) {
            return;
        }
        timerSet = true;
        timer.schedule(WAITING_MILLIS, () -> {
            timerSet = false;
            server.advance();
            if (server.hasWaiting() && !isReportFresh()) {
                poll.run();
            }
            watchWaiting();
        });
    }

    /** Returns whether the engine was polled lately for another reason, as it is every few milliseconds for adapters. */
    private boolean isReportFresh() {
        return clock.getAsLong() - reportedAtMillis < FRESH_MILLIS;
    }

    /** Whether the engine can take requests. */
    private enum Availability {
        /** It has not reported yet. */
        UNKNOWN,
        /** It can. */
        SERVING,
        /** It is about to leave, or was lost. */
        LEAVING
    }
}
