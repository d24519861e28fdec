package io.waxwingquay.forward;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.peer.NewsNumber;
import io.waxwingquay.peer.NewsPace;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.HeldModel;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;

/** One life of a replica, as this entry sees it. */
final class Target {

    /** Against the round in which news comes, changed or not: older news is no better than the platform's list. */
    private static final double FRESH_ROUNDS = 2.5;

    private static final long MIN_FRESH_MILLIS = 1_500L;

    /**
     * An engine with requests from here that is not heard for this long stands still or is cut off: five tellings of its load,
     * and far more than the pause between two events.
     */
    private static final long UNRESPONSIVE_MILLIS = 1_000L;

    /** Against the round in which news comes; one without requests from here is heard in rounds alone. */
    private static final double UNRESPONSIVE_ROUNDS = 2.0;

    /** Two tellings of the load of an engine with requests from here; one that missed them may stand still. */
    private static final long DOUBT_MILLIS = 400L;

    /** Over how long requests sent from here are averaged, to tell what other entries send. */
    private static final double SEND_HALF_LIFE_MILLIS = 1_000.0;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final ClientPool pool;
    private final ListingStatus listingStatus = new ListingStatus();
    private final ReplicaRateLimit rateLimit = new ReplicaRateLimit();
    private final AttemptHistory attemptHistory = new AttemptHistory();
    private final DecayingSum recentSends = new DecayingSum(SEND_HALF_LIFE_MILLIS);
    private final Map<String, Integer> adaptersInUse = new HashMap<>();
    private final Map<String, Integer> modelsInUse = new HashMap<>();
    private ReplicaRecord record;
    private EngineNews update;
    private long updatedAtMillis = Long.MIN_VALUE / 2;
    private long lastAnswerMillis = Long.MIN_VALUE / 2;
    private long busySinceMillis = Long.MIN_VALUE / 2;
    private long updateLifetimeMillis = MIN_FRESH_MILLIS;
    private long unresponsiveAfterMillis = UNRESPONSIVE_MILLIS;
    private int inFlight;
    private int sentSinceUpdate;
    private long tokensSinceUpdate;
    private Usage reportedUsage = new Usage(Set.of(), Set.of());
    private boolean gone;
    private boolean replaced;

    Target(ReplicaRecord record, ClientPool pool) {
        this.record = record;
        this.pool = pool;
    }

    ReplicaRecord record() {
        return record;
    }

    void record(ReplicaRecord newer) {
        record = newer;
        listingStatus.listed();
        if (!acceptsRequests()) {
            pool.withdrawWaiting();
        }
    }

    /** Its row is missing; it may come back. */
    void markUnlisted() {
        listingStatus.unlisted();
        pool.withdrawWaiting();
    }

    String id() {
        return record.id();
    }

    HostPort address() {
        return record.address();
    }

    ClientPool pool() {
        return pool;
    }

    AttemptHistory attemptHistory() {
        return attemptHistory;
    }

    int inFlight() {
        return inFlight;
    }

    /** Its pool gives back what waits for a connection there, as it would arrive too late. */
    void markGone() {
        gone = true;
        pool.close();
    }

    /** Whether new work may be sent here at all. */
    boolean acceptsRequests() {
        return !gone && !replaced && !record.draining() && !(update != null && update.isDraining());
    }

    /** Whether its row is missing and nothing has told since that it stays. */
    boolean mayHaveDeparted() {
        return listingStatus.mayHaveDeparted();
    }

    boolean isGone() {
        return gone;
    }

    /** Another replica has this one's address. */
    void markReplaced() {
        replaced = true;
    }

    boolean isReplaced() {
        return replaced;
    }

    void update(EngineNews newer, long nowMillis) {
        boolean earlierIncarnation =
                record.bornMillis() != 0 && newer.getBornMillis() != 0 && newer.getBornMillis() < record.bornMillis();
        boolean overtaken = update != null
                && newer.getBornMillis() == update.getBornMillis()
                && NewsNumber.isOvertaken(newer.getNumber(), update.getNumber());
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
        listingStatus.heard(newer.isDraining());
        if (!acceptsRequests()) {
            pool.withdrawWaiting();
        }
        sentSinceUpdate = 0;
        tokensSinceUpdate = 0;
    }

    /** An answer has begun; a replica that is about to leave says that it closes the connection. */
    void answerBegan(boolean closesConnection) {
        listingStatus.heard(closesConnection);
    }

    /** What its newest answer names as the requests a second that it takes from all entries together. */
    void rateLimitAnnounced(OptionalDouble perSecond, int entryCount, DoubleSupplier phase, long nowMillis) {
        rateLimit.announced(id(), perSecond, entryCount, phase, nowMillis);
    }

    /** How long until its limit lets this entry send it another request; 0 if it may now, or there is no limit. */
    long rateLimitDelayMillis(long nowMillis) {
        return rateLimit.waitMillis(nowMillis);
    }

    /** Bytes of an answer have come from it. */
    void answerReceived(long nowMillis) {
        lastAnswerMillis = nowMillis;
    }

    /**
     * Whether an engine that told of itself before does so no more, nor answers anything.
     *
     * <p>Failure: a VM stands still, and with it the engine and the process beside it. Symptom: what it was sent is answered
     * when it wakes, seconds later, and what its callers gave up meanwhile is run all the same. Only the process that tells of
     * it being gone is not enough: the engine's own answers count too. Of an engine without a request from here little is told,
     * so that its silence says less, and counts from its first request on.
     */
    boolean isUnresponsive(long nowMillis) {
        if (update == null) {
            return false;
        }
        long lastHeardMillis = Math.max(updatedAtMillis, lastAnswerMillis);
        return inFlight > 0
                ? nowMillis - Math.max(lastHeardMillis, busySinceMillis) > UNRESPONSIVE_MILLIS
                : nowMillis - lastHeardMillis > unresponsiveAfterMillis;
    }

    /**
     * Whether an engine that told of itself before may stand still, though it has not been unheard for long enough to be
     * taken for silent: neither it nor the process beside it was heard since a request was sent there, or lately.
     *
     * @param sentAtMillis when the request was sent.
     * @param nowMillis the steady time.
     */
    boolean mayBeUnresponsive(long sentAtMillis, long nowMillis) {
        long lastHeardMillis = Math.max(updatedAtMillis, lastAnswerMillis);
        return update != null && (lastHeardMillis < sentAtMillis || nowMillis - lastHeardMillis > DOUBT_MILLIS);
    }

    /** What the process beside the engine told, while it counts. */
    Optional<EngineNews> freshUpdate(long nowMillis) {
        return nowMillis - updatedAtMillis <= updateLifetimeMillis ? Optional.of(update) : Optional.empty();
    }

    /** How many processes the one beside the engine tells; the more, the longer its rounds take. */
    void receiverCount(int receiverCount) {
        long roundMillis = NewsPace.periodMillis(receiverCount);
        updateLifetimeMillis = Math.max(MIN_FRESH_MILLIS, Math.round(FRESH_ROUNDS * roundMillis));
        unresponsiveAfterMillis = Math.max(UNRESPONSIVE_MILLIS, Math.round(UNRESPONSIVE_ROUNDS * roundMillis));
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

    /** Notes an adapter that the process beside the engine has just said to be there, before its next news. */
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

    /** The replica lacks what the news said it held, or another one has its address; the next news tells. */
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
     * Requests in the replica by the time that one sent now is there. All entries hear the same news and send to the same
     * replica until the next, so what this one has sent since is taken to be sent by each.
     */
    int expectedLoad(long nowMillis) {
        return freshUpdate(nowMillis)
                .map(fresh -> Math.max(
                        inFlight,
                        fresh.getRunning() + fresh.getWaiting() + sentSinceUpdate * Math.max(1, fresh.getEntries())))
                .orElse(inFlight);
    }

    /**
     * Whether the engine is taken to have a place and memory for one more. One that has not makes another request be put
     * back and read anew, or lets this one wait in it where nobody can tell whether it runs.
     *
     * @param slots requests that it runs at once.
     * @param kvTokens memory that the request is expected to take.
     * @param nowMillis the steady time.
     */
    boolean hasRoomFor(int slots, long kvTokens, long nowMillis) {
        return freshUpdate(nowMillis)
                .map(fresh -> hasRoomFor(fresh, slots, kvTokens, nowMillis))
                .orElse(inFlight < slots);
    }

    /** Other entries are taken to have sent, since the news, at the pace at which this one sends lately. */
    private boolean hasRoomFor(EngineNews fresh, int slots, long kvTokens, long nowMillis) {
        double seconds = (nowMillis - updatedAtMillis) / MILLIS_PER_SECOND;
        double sentByOthers = Math.max(0, fresh.getEntries() - 1) * recentSends.perSecond(nowMillis) * seconds;
        double load = Math.max(inFlight, fresh.getRunning() + fresh.getWaiting() + sentSinceUpdate + sentByOthers);
        double usedTokens = fresh.getKvUsedTokens() + tokensSinceUpdate + sentByOthers * kvTokens;
        boolean fits = fresh.getKvTotalTokens() == 0 || usedTokens + kvTokens <= fresh.getKvTotalTokens();
        return load < slots && fits;
    }

    Map<String, Integer> adaptersInUse() {
        return adaptersInUse;
    }

    Set<String> modelsInUse() {
        return modelsInUse.keySet();
    }

    /**
     * Whether what the process beside the engine must know of requests there has changed since this was asked last: it
     * evicts no adapter in use, and waits for the last request of a model that goes.
     */
    boolean pollUsageChanged(long nowMillis) {
        Usage currentUsage = new Usage(
                Set.copyOf(adaptersInUse.keySet()),
                modelsInUse.keySet().stream()
                        .filter(model -> !holds(model, nowMillis))
                        .collect(Collectors.toUnmodifiableSet()));
        boolean changed = !currentUsage.equals(reportedUsage);
        reportedUsage = currentUsage;
        return changed;
    }

    /** How long the engine loads a model still; meanwhile it takes no order for an adapter. */
    long remainingLoadMillis(long nowMillis) {
        return freshUpdate(nowMillis)
                .filter(EngineNews::isSetLoadingModel)
                .map(fresh -> Math.max(1, fresh.getLoadingMillis() - (nowMillis - updatedAtMillis)))
                .orElse(0L);
    }

    void requestSent(Optional<String> model, Optional<String> adapter, long kvTokens, long nowMillis) {
        tokensSinceUpdate += kvTokens;
        recentSends.add(1, nowMillis);
        rateLimit.sent(nowMillis);
        if (inFlight == 0 && !isUnresponsive(nowMillis)) {
            busySinceMillis = nowMillis;
        }
        inFlight++;
        sentSinceUpdate++;
        model.ifPresent(name -> modelsInUse.merge(name, 1, Integer::sum));
        adapter.ifPresent(name -> adaptersInUse.merge(model.orElse("") + "/" + name, 1, Integer::sum));
    }

    void requestEnded(Optional<String> model, Optional<String> adapter) {
        inFlight--;
        model.ifPresent(name -> modelsInUse.computeIfPresent(name, (key, count) -> count > 1 ? count - 1 : null));
        adapter.ifPresent(name -> adaptersInUse.computeIfPresent(
                model.orElse("") + "/" + name, (key, count) -> count > 1 ? count - 1 : null));
    }

    /**
     * What requests from here use.
     *
     * @param adapters adapters, as {@code model/adapter}.
     * @param departingModels models that the engine no longer offers.
     */
    private record Usage(Set<String> adapters, Set<String> departingModels) {}
}
