package io.waxwingquay.reservation;

import io.waxwingquay.reservation.SlotDecision.Reason;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The slots of an engine: how many are free, which waiting request gets the next one, and how long the others wait. */
final class SlotPool {

    /**
     * An engine that was last heard so long ago counts as lost. Leases end earlier, so without this bound a frozen engine
     * would be granted its free slots again and again.
     */
    static final long MAX_REPORT_AGE_MILLIS = 1_000L;

    private final WaitingRequests queue;
    private final PromptPacer pacer;
    private final AdapterGate adapters;
    private final Grants grants = new Grants();
    private final SlotCapacity capacity = new SlotCapacity();
    private int slots;
    private Optional<EngineOccupancy> occupancy = Optional.empty();
    private long observedMillis;
    private boolean lost;

    SlotPool(WaitingRequests queue, PromptPacer pacer, AdapterGate adapters) {
        this.queue = queue;
        this.pacer = pacer;
        this.adapters = adapters;
    }

    void configure(int newer) {
        slots = newer;
    }

    /** Returns whether enough is known of the engine to grant its slots. */
    boolean isKnown() {
        return slots > 0 && occupancy.isPresent();
    }

    /** Returns whether a request has a slot: by a valid grant, or since the engine runs it. */
    boolean isGranted(SlotRequest request, long nowMillis) {
        grants.expire(nowMillis);
        return grants.isLeased(request.key())
                || occupancy
                        .filter(report -> report.runningAttemptIds().contains(request.attemptId()))
                        .isPresent();
    }

    /** Ends the grant of a request; ignored if it has none. */
    void release(SlotRequest.Key key) {
        grants.release(key);
    }

    /** Records a new request that the engine can serve. */
    void requested(SlotRequest request, long nowMillis) {
        capacity.requested(request, nowMillis);
    }

    /** Returns why the engine can't serve a request, whatever its load. */
    Optional<Reason> refusal(SlotRequest request, long nowMillis) {
        if (lost
                || isSilent(nowMillis)
                || occupancy.filter(report -> !report.accepting()).isPresent()) {
            return Optional.of(Reason.LEAVING);
        }
        if (occupancy
                .filter(report -> !report.models().contains(request.model()))
                .isPresent()) {
            return Optional.of(Reason.MODEL);
        }
        return readiness(request, nowMillis) == AdapterGate.Readiness.UNAVAILABLE
                ? Optional.of(Reason.ADAPTER)
                : Optional.empty();
    }

    private boolean isSilent(long nowMillis) {
        return occupancy.isPresent() && nowMillis - observedMillis > MAX_REPORT_AGE_MILLIS;
    }

    private AdapterGate.Readiness readiness(SlotRequest request, long nowMillis) {
        return request.adapter()
                .map(adapter -> adapters.prepare(request.model(), adapter, nowMillis))
                .orElse(AdapterGate.Readiness.READY);
    }

    /** Returns whether a report is that of another incarnation of the engine than the one before. */
    boolean isRestarted(EngineOccupancy report) {
        return occupancy
                .filter(known -> known.bornMillis() != report.bornMillis())
                .isPresent();
    }

    /** Returns whether the engine takes requests for the same models as in the report before. */
    boolean isServingAsBefore(EngineOccupancy report) {
        return occupancy
                .filter(known -> known.models().equals(report.models()) && report.accepting())
                .isPresent();
    }

    /**
     * Takes a fresh report of the engine.
     *
     * @return the granted requests that it shows as running for the first time.
     */
    List<SlotRequest> observe(EngineOccupancy report, long nowMillis) {
        if (isRestarted(report)) {
            grants.clear();
            capacity.restarted();
        }
        lost = false;
        occupancy = Optional.of(report);
        observedMillis = nowMillis;
        capacity.observed(report.runningAttemptIds(), nowMillis);
        grants.expire(nowMillis);
        return grants.observe(report.runningAttemptIds(), report.waiting(), nowMillis);
    }

    /** Refuses all requests until the next report. Grants stay valid, as the same incarnation may be heard again. */
    void engineLost() {
        lost = true;
    }

    /** Returns the requests in the engine and the valid grants that its report does not show yet. */
    int load(long nowMillis) {
        grants.expire(nowMillis);
        int reported =
                occupancy.map(report -> report.running() + report.waiting()).orElse(0);
        return reported + grants.unreported();
    }

    private int usableSlots() {
        return Math.max(1, pacer.effectiveSlots(slots));
    }

    private int freeSlots(long nowMillis) {
        return usableSlots() - load(nowMillis);
    }

    /** Returns the usual time between two slots becoming free. */
    double intervalMillis(long nowMillis) {
        return capacity.intervalMillis(usableSlots(), nowMillis);
    }

    /** Returns the slots per millisecond that become free for a rank. */
    double perMilli(Rank rank, long nowMillis) {
        return capacity.perMilli(rank, usableSlots(), nowMillis);
    }

    /** Returns the shares of the accounts that hold or request slots. */
    FairShares shares() {
        FairShares shares = new FairShares();
        grants.addTo(shares);
        queue.addTo(shares);
        shares.divide(usableSlots());
        return shares;
    }

    /** Returns the expected wait of a request behind a number of others. */
    long expectedWaitMillis(WaitingRequest waiting, int ahead, long nowMillis) {
        int headroom = capacity.headroom(waiting.rank(), usableSlots(), nowMillis);
        int needed = Math.max(0, ahead + 1 + headroom - freeSlots(nowMillis));
        long slotMillis = (long) (needed / perMilli(waiting.rank(), nowMillis));
        return Math.max(slotMillis, promptDelayMillis(waiting.request(), nowMillis));
    }

    /** Returns what a waiting request mainly waits for. */
    Reason delayedBy(WaitingRequest waiting, long nowMillis) {
        if (readiness(waiting.request(), nowMillis) != AdapterGate.Readiness.READY) {
            return Reason.ADAPTER;
        }
        long promptMillis = promptDelayMillis(waiting.request(), nowMillis);
        boolean isDelayedByPrompts = promptMillis > 0 && promptMillis >= waiting.expectedWaitMillis(nowMillis);
        return isDelayedByPrompts ? Reason.PROMPTS : Reason.ROOM;
    }

    private long promptDelayMillis(SlotRequest request, long nowMillis) {
        return pacer.delayMillis(request.promptTokens(), request.pauseObjectiveMillis(), nowMillis);
    }

    /** Grants the free slots to waiting requests, which then no longer wait, and returns these. */
    List<SlotRequest> grantFree(long nowMillis) {
        if (queue.isEmpty() || !isAvailable(nowMillis) || freeSlots(nowMillis) <= 0) {
            return List.of();
        }
        List<SlotRequest> granted = new ArrayList<>();
        FairShares shares = shares();
        Optional<SlotRequest> next = nextToGrant(shares, nowMillis);
        while (next.isPresent()) {
            grant(next.get(), nowMillis);
            shares.granted(next.get().account());
            granted.add(next.get());
            next = nextToGrant(shares, nowMillis);
        }
        return granted;
    }

    private boolean isAvailable(long nowMillis) {
        return isKnown()
                && !lost
                && !isSilent(nowMillis)
                && occupancy.filter(EngineOccupancy::accepting).isPresent();
    }

    private Optional<SlotRequest> nextToGrant(FairShares shares, long nowMillis) {
        int free = freeSlots(nowMillis);
        for (Rank rank : queue.ranks()) {
            if (free <= capacity.headroom(rank, usableSlots(), nowMillis)) {
                return Optional.empty();
            }
            for (WaitingRequest waiting : queue.inOrder(rank, shares)) {
                boolean isDelayed = promptDelayMillis(waiting.request(), nowMillis) > 0;
                boolean isPassedBy = isDelayed && !holdsBackOthers(waiting, nowMillis);
                if (!isPassedBy && readiness(waiting.request(), nowMillis) == AdapterGate.Readiness.READY) {
                    return isDelayed ? Optional.empty() : Optional.of(waiting.request());
                }
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether no request behind this one may be granted a slot, also of later ranks: smaller prompts would otherwise
     * delay a large one for as long as they keep coming.
     */
    private static boolean holdsBackOthers(WaitingRequest waiting, long nowMillis) {
        return waiting.ageMillis(nowMillis) > waiting.rank().objectiveMillis() / 2;
    }

    private void grant(SlotRequest request, long nowMillis) {
        queue.remove(request.key());
        grants.grant(request, nowMillis);
        capacity.granted(request.rank(), nowMillis);
        pacer.admitted(request.promptTokens(), request.pauseObjectiveMillis(), nowMillis);
    }
}
