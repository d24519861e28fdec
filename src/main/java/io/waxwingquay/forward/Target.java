package io.waxwingquay.forward;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.peer.UpdateInterval;
import io.waxwingquay.peer.UpdateSequence;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.HeldModel;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/** One incarnation of a replica, as this entry sees it. */
final class Target {

    /**
     * Lifetime of a status update in rounds of updates, which come whether anything changed or not: an older one is no
     * better than the platform's list.
     */
    private static final double FRESH_ROUNDS = 2.5;

    private static final long MIN_FRESH_MILLIS = 1_500L;

    /** Time from the report of an engine to the arrival of an update that tells it: a few milliseconds, and a margin. */
    private static final long MAX_UPDATE_AGE_MILLIS = 250L;

    private final ClientPool pool;
    private final ListingStatus listingStatus = new ListingStatus();
    private final ReplicaAnnouncements announcements;
    private final AttemptHistory attemptHistory = new AttemptHistory();
    private final BodyShare bodyShare = new BodyShare();
    private final EngineLoadEstimate loadEstimate = new EngineLoadEstimate();
    private final SlotReplies slotReplies = new SlotReplies();
    private final EngineContact contact = new EngineContact();
    private final TargetUsage usage = new TargetUsage();
    private final IncarnationEvidence incarnation;
    private final Predicate<String> isEngineService;
    private ReplicaRecord record;
    private EngineNews update;
    private long updatedAtMillis = Long.MIN_VALUE / 2;
    private long updateLifetimeMillis = MIN_FRESH_MILLIS;
    private long lastAnswerMillis = Long.MIN_VALUE / 2;
    private boolean gone;
    private boolean replaced;
    private boolean hasSuccessor;

    Target(ReplicaRecord record, ClientPool pool) {
        this(record, pool, new ReplicaAnnouncements(), service -> false);
    }

    /**
     * Creates an incarnation that was not heard.
     *
     * @param isEngineService tells of a service whether its replicas state which incarnation they are.
     */
    Target(
            ReplicaRecord record,
            ClientPool pool,
            ReplicaAnnouncements announcements,
            Predicate<String> isEngineService) {
        this.incarnation = new IncarnationEvidence(record.bornMillis());
        this.isEngineService = isEngineService;
        this.record = record;
        this.pool = pool;
        this.announcements = announcements;
    }

    ReplicaRecord record() {
        return record;
    }

    void record(ReplicaRecord newer) {
        record = newer;
        listingStatus.listed();
        if (!acceptsRequests()) {
            pool.failWaiting();
        }
    }

    /** Notes that its row is missing, which may come back. */
    void markUnlisted() {
        listingStatus.unlisted();
        pool.failWaiting();
    }

    String id() {
        return record.id();
    }

    HostPort address() {
        return record.address();
    }

    /**
     * Returns the version of its software; empty if its row states none, or if it may have restarted since its row was
     * read and run another version under the same id.
     */
    Optional<String> softwareVersion() {
        return statedSoftwareVersion()
                .filter(version -> !statesIncarnation() || incarnation.isCurrent(pool.oldestConnectionMillis()));
    }

    /** Returns the version that its row states, unless a later incarnation is known to answer. */
    Optional<String> statedSoftwareVersion() {
        return Optional.of(record.softwareVersion())
                .filter(version -> !incarnation.isSucceeded() && !version.isEmpty());
    }

    /** Returns whether its row states a version, and whether the incarnation of the row still answers is to be found out. */
    boolean isAwaitingConfirmation() {
        return !gone
                && !replaced
                && statedSoftwareVersion().isPresent()
                && softwareVersion().isEmpty();
    }

    /** A replica that states no start time is taken for the one of its row. */
    private boolean statesIncarnation() {
        return record.bornMillis() != 0 && isEngineService.test(record.service());
    }

    /**
     * Notes the start time that the replica at its address states.
     *
     * @param bornMillis the start time.
     * @param atMillis a monotonic time at which the replica that states it certainly ran.
     */
    void incarnationStated(long bornMillis, long atMillis) {
        incarnation.stated(bornMillis, atMillis);
    }

    ClientPool pool() {
        return pool;
    }

    AttemptHistory attemptHistory() {
        return attemptHistory;
    }

    BodyShare bodyShare() {
        return bodyShare;
    }

    int inFlight() {
        return loadEstimate.inFlight();
    }

    /**
     * Notes that the replica is gone. Requests that wait for a connection are returned, as they would arrive too late.
     */
    void markGone() {
        gone = true;
        pool.close();
    }

    /** Returns whether new requests may be sent to it at all. */
    boolean acceptsRequests() {
        return !gone && !replaced && !hasSuccessor && !isLeaving();
    }

    /** Returns whether it has said that it is about to leave, after which it may end answers that it has begun. */
    boolean isLeaving() {
        return announcements.isLeaving() || record.draining() || update != null && update.isDraining();
    }

    /** Returns whether its row is missing and no message since then has shown that it stays. */
    boolean mayHaveDeparted() {
        return listingStatus.mayHaveDeparted();
    }

    boolean isGone() {
        return gone;
    }

    /** Notes that another replica answered at its address. */
    void markReplaced() {
        replaced = true;
    }

    /** Sets whether the list has a later replica at its address. */
    void hasSuccessor(boolean isSucceeded) {
        hasSuccessor = isSucceeded;
    }

    boolean isReplaced() {
        return replaced;
    }

    void update(EngineNews newer, long nowMillis) {
        boolean earlierIncarnation =
                record.bornMillis() != 0 && newer.getBornMillis() != 0 && newer.getBornMillis() < record.bornMillis();
        boolean overtaken = update != null
                && newer.getBornMillis() == update.getBornMillis()
                && UpdateSequence.isSuperseded(newer.getNumber(), update.getNumber());
        boolean isLoadOnly = !newer.isSetModels();
        boolean lacksBase = isLoadOnly && (update == null || newer.getBornMillis() != update.getBornMillis());
        if (earlierIncarnation || overtaken || lacksBase) {
            return;
        }
        if (isLoadOnly) {
            newer.setModels(update.getModels()).setNearModels(update.getNearModels());
        }
        update = newer;
        updatedAtMillis = nowMillis;
        incarnationStated(newer.getBornMillis(), nowMillis - MAX_UPDATE_AGE_MILLIS);
        contact.heard(nowMillis);
        listingStatus.heard(newer.isDraining());
        if (!acceptsRequests()) {
            pool.failWaiting();
        }
        loadEstimate.updated();
    }

    /** Notes that a response has begun; a replica that is about to leave announces that it closes the connection. */
    void answerBegan(boolean closesConnection) {
        listingStatus.heard(closesConnection);
    }

    /** Notes that an answer of the replica announced that it is about to leave. */
    void announcedLeaving() {
        announcements.leaving(id());
        pool.failWaiting();
    }

    /** Notes that the replica refused a request and wants none for a time. */
    void announcedRefusal(long forMillis, long nowMillis) {
        announcements.refusing(id(), forMillis, nowMillis);
        pool.failWaiting();
    }

    ReplicaAnnouncements announcements() {
        return announcements;
    }

    /** Applies the requests per second that its latest response announces for all entries together. */
    void rateLimitAnnounced(OptionalDouble perSecond, int entryCount, DoubleSupplier phase, long nowMillis) {
        announcements.rateLimit().announced(id(), perSecond, entryCount, phase, nowMillis);
    }

    /**
     * Returns how long until the rate limit lets this entry send another request; 0 if it may now or there is no limit.
     */
    long rateLimitDelayMillis(long nowMillis) {
        return announcements.rateLimit().waitMillis(nowMillis);
    }

    /** Returns how long the replica wants no request from this entry, by its refusals or its rate limit. */
    long sendDelayMillis(long nowMillis) {
        return Math.max(rateLimitDelayMillis(nowMillis), announcements.refusalMillis(nowMillis));
    }

    /** Returns whether a request that waits for a connection to it should go elsewhere. */
    boolean declinesRequests(long nowMillis) {
        return !acceptsRequests() || mayHaveDeparted() || announcements.refusalMillis(nowMillis) > 0;
    }

    /** Notes that bytes of a response have arrived. */
    void answerReceived(long nowMillis) {
        lastAnswerMillis = nowMillis;
        contact.heard(nowMillis);
    }

    /** Returns whether no bytes of any response have come since the given time. */
    boolean isSilentSince(long sinceMillis) {
        return lastAnswerMillis <= sinceMillis;
    }

    /**
     * Returns whether an engine that sent status updates before has sent none and answered nothing for too long.
     *
     * <p>When a VM is unresponsive, so are its engine and the side process. What was sent to it would be answered
     * seconds later, when it continues, and requests that their callers gave up meanwhile would be run all the same.
     * Missing updates of the side process alone are not enough: the responses of the engine count too.
     */
    boolean isUnresponsive(long nowMillis) {
        return update != null && contact.isUnresponsive(inFlight(), nowMillis);
    }

    /**
     * Returns whether an engine that sent status updates before may be unresponsive, though the time for that has not
     * passed: neither it nor its side process was heard since a request was sent there, or lately.
     *
     * @param sentAtMillis when the request was sent.
     * @param nowMillis the monotonic time.
     */
    boolean mayBeUnresponsive(long sentAtMillis, long nowMillis) {
        return update != null && contact.mayBeUnresponsive(sentAtMillis, nowMillis);
    }

    /** Returns the last status update of the side process while it is recent enough. */
    Optional<EngineNews> freshUpdate(long nowMillis) {
        return nowMillis - updatedAtMillis <= updateLifetimeMillis ? Optional.of(update) : Optional.empty();
    }

    /** Sets how many processes the side process updates; the more they are, the longer its rounds take. */
    void receiverCount(int receiverCount) {
        long roundMillis = UpdateInterval.periodMillis(receiverCount);
        updateLifetimeMillis = Math.max(MIN_FRESH_MILLIS, Math.round(FRESH_ROUNDS * roundMillis));
        contact.roundMillis(roundMillis);
    }

    /** Returns how long an update of the side process counts. */
    long updateLifetimeMillis() {
        return updateLifetimeMillis;
    }

    boolean holds(String model, long nowMillis) {
        return freshUpdate(nowMillis)
                .map(fresh -> fresh.getModels().stream()
                        .anyMatch(held -> held.getName().equals(model)))
                .orElseGet(() ->
                        record.models().stream().anyMatch(held -> held.name().equals(model)));
    }

    boolean holdsAdapter(String model, String adapter, long nowMillis) {
        return freshUpdate(nowMillis)
                .map(fresh -> fresh.getModels().stream()
                        .filter(held -> held.getName().equals(model))
                        .map(HeldModel::getAdapters)
                        .anyMatch(adapters -> adapters.contains(adapter)))
                .orElse(false);
    }

    /** Notes an adapter that the side process has just reported as loaded, ahead of its next update. */
    void adapterPresent(String model, String adapter) {
        if (update == null) {
            return;
        }
        update.getModels().stream()
                .filter(held -> held.getName().equals(model))
                .filter(held -> !held.getAdapters().contains(adapter))
                .findFirst()
                .ifPresent(held -> held.addToAdapters(adapter));
    }

    int loadedAdapterCount(long nowMillis) {
        return freshUpdate(nowMillis)
                .map(fresh -> fresh.getModels().stream()
                        .mapToInt(held -> held.getAdapters().size())
                        .sum())
                .orElse(0);
    }

    /**
     * Notes that the replica lacks what its update listed, or that another one has its address; the next update
     * corrects it.
     */
    void misdirected(Optional<String> model, Optional<String> adapter) {
        if (update == null || model.isEmpty()) {
            attemptHistory.unreachable(EventLoop.nowMillis());
            return;
        }
        update.getModels().removeIf(held -> adapter.isEmpty() && held.getName().equals(model.get()));
        adapter.ifPresent(name -> update.getModels().stream()
                .filter(held -> held.getName().equals(model.get()))
                .forEach(held -> held.getAdapters().remove(name)));
    }

    /**
     * Returns whether the side process grants the slots of its engine. A side process that is silent is not asked for a
     * while, nor one whose engine may have departed or be unresponsive.
     */
    boolean grantsSlots(long nowMillis) {
        return freshUpdate(nowMillis).filter(EngineNews::isGrantsSlots).isPresent()
                && !slotReplies.isSilent(nowMillis)
                && !mayHaveDeparted()
                && !isUnresponsive(nowMillis);
    }

    /** Notes a reply of the side process to a request for a slot, and the load that it stated. */
    void slotReplied(int load, long nowMillis) {
        slotReplies.replied(load, nowMillis);
        contact.heard(nowMillis);
    }

    /** Notes that the side process has lost its engine, or that the engine is about to leave. */
    void engineLost(long nowMillis) {
        slotReplies.engineLost(nowMillis);
    }

    /** Returns whether its side process has lately replied that it has lost the engine. */
    boolean isEngineLost(long nowMillis) {
        return slotReplies.isEngineLost(nowMillis);
    }

    /** Notes that the side process has not replied to a request for a slot. */
    void slotRequestsUnanswered(long nowMillis) {
        slotReplies.silent(nowMillis);
    }

    /** Returns the expected requests in the replica when one sent now arrives. */
    int expectedLoad(long nowMillis) {
        return freshUpdate(nowMillis)
                .map(fresh -> slotReplies.loadSince(updatedAtMillis).orElseGet(() -> loadEstimate.expectedLoad(fresh)))
                .orElse(inFlight());
    }

    /** Returns the requests in the replica by its last update, with the change of those from here since. */
    int reportedLoad(long nowMillis) {
        return freshUpdate(nowMillis)
                .map(fresh -> slotReplies.loadSince(updatedAtMillis).orElseGet(() -> loadEstimate.reportedLoad(fresh)))
                .orElse(inFlight());
    }

    /**
     * Returns whether the engine is expected to have a slot and memory for one more request. If it has not, another
     * request is preempted and recomputed, or this one queues in the engine, where nobody can tell whether it runs.
     *
     * @param slots requests that the engine runs at once.
     * @param kvTokens the key-value cache that the request is expected to take, in tokens.
     * @param nowMillis the monotonic time.
     */
    boolean hasRoomFor(int slots, long kvTokens, long nowMillis) {
        return freshUpdate(nowMillis)
                .map(fresh -> loadEstimate.hasRoomFor(fresh, nowMillis - updatedAtMillis, slots, kvTokens, nowMillis))
                .orElse(inFlight() < slots);
    }

    Map<String, Integer> adaptersInUse() {
        return usage.adapters();
    }

    Set<String> modelsInUse() {
        return usage.models();
    }

    /**
     * Returns whether the usage that the side process must know has changed since the last call: it evicts no adapter
     * in use, and waits for the last request of a departing model.
     */
    boolean pollUsageChanged(long nowMillis) {
        return usage.pollChanged(model -> holds(model, nowMillis));
    }

    /** Returns how long the engine still loads a model; meanwhile it accepts no order for an adapter. */
    long remainingLoadMillis(long nowMillis) {
        return freshUpdate(nowMillis)
                .filter(EngineNews::isSetLoadingModel)
                .map(fresh -> Math.max(1, fresh.getLoadingMillis() - (nowMillis - updatedAtMillis)))
                .orElse(0L);
    }

    void requestSent(Optional<String> model, Optional<String> adapter, long kvTokens, long nowMillis) {
        announcements.rateLimit().sent(nowMillis);
        if (inFlight() == 0 && !isUnresponsive(nowMillis)) {
            contact.busySince(nowMillis);
        }
        loadEstimate.requestSent(kvTokens, nowMillis);
        usage.requestSent(model, adapter);
    }

    void requestEnded(Optional<String> model, Optional<String> adapter) {
        loadEstimate.requestEnded();
        usage.requestEnded(model, adapter);
    }
}
