package io.waxwingquay.forward;

import io.waxwingquay.reservation.Rank;
import io.waxwingquay.transport.generated.SlotRequest;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;

/** What one request states when it asks for a slot, and the replicas that it may choose. */
final class SlotPlacement implements SlotWait.Placement {

    private final CallerAge callerAge;
    private final RequestTerms terms;
    private final StreamProgress stream;
    private final Set<Target> triedTargets;
    private final Supplier<SlotYield> slotYield;

    /**
     * Creates the placement of a request.
     *
     * @param callerAge estimates how long its caller has waited.
     * @param terms the terms of the request.
     * @param stream the progress of its stream, which limits where and how long it may be resumed.
     * @param triedTargets the replicas to which it was sent, as they are at the time of a choice.
     * @param slotYield which engines it leaves to others at the time of a choice.
     */
    SlotPlacement(
            CallerAge callerAge,
            RequestTerms terms,
            StreamProgress stream,
            Set<Target> triedTargets,
            Supplier<SlotYield> slotYield) {
        this.callerAge = callerAge;
        this.terms = terms;
        this.stream = stream;
        this.triedTargets = triedTargets;
        this.slotYield = slotYield;
    }

    /** {@inheritDoc} */
    @Override
    public Choice choose(Set<Target> excluded, SlotUse use, long nowMillis) {
        Set<Target> all = new HashSet<>(triedTargets);
        all.addAll(excluded);
        return terms.choose(stream, all, use, slotYield.get(), nowMillis);
    }

    /** {@inheritDoc} */
    @Override
    public boolean mayReceive(Target target, long nowMillis) {
        boolean mayResume =
                stream.softwareVersion().isEmpty() || target.softwareVersion().equals(stream.softwareVersion());
        return mayResume && TargetChooser.mayReceive(target, nowMillis) && terms.hasRoomForBody(target);
    }

    /** {@inheritDoc} */
    @Override
    public int freeSlots(Target target, long nowMillis) {
        return terms.freeSlots(target, nowMillis);
    }

    /** {@inheritDoc} */
    @Override
    public SlotRequest slotRequest(long nowMillis) {
        MessageCodec.RequestHead head = terms.head();
        Rank rank = terms.waitRank(stream);
        SlotRequest request = new SlotRequest()
                .setAttemptId(head.id())
                .setModel(head.model().orElseThrow())
                .setPromptTokens(bounded(head.inputTokens()))
                .setOutputTokens(bounded(EngineRequirements.expectedOutputTokens(head)))
                .setAccountPriority(rank.accountPriority())
                .setRoutePriority(rank.routePriority())
                .setObjectiveMillis(bounded(rank.objectiveMillis()))
                .setPauseObjectiveMillis(bounded(terms.route().pauseObjectiveMillis()))
                .setAccountWeight(terms.admission().weight())
                .setAgeMillis(bounded(ageMillis(nowMillis)))
                .setMaxWaitMillis(bounded(maxWaitMillis(nowMillis)));
        head.adapter().ifPresent(request::setAdapter);
        terms.admission().accountName().ifPresent(request::setAccount);
        return request;
    }

    private long ageMillis(long nowMillis) {
        long beforeMillis =
                callerAge.ageMillis(terms.route().name(), terms.head().remainingMillis());
        return beforeMillis + nowMillis - terms.arrivedMillis();
    }

    /** Returns how much longer the request can wait; a stream that is resumed waits as long as for anything else. */
    private long maxWaitMillis(long nowMillis) {
        long waitMillis = stream.hasBegun()
                ? WaitPolicy.remainingResumeMillis(stream.interruptedMillis(nowMillis))
                : terms.remainingSlotWaitMillis(nowMillis);
        return Math.min(waitMillis, terms.remainingMillis(nowMillis));
    }

    /** Returns a number of a message, which callers may have stated without any bound. */
    private static int bounded(long number) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, number));
    }
}
