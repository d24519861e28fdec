package io.waxwingquay.forward;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.peer.UpdateInterval;
import io.waxwingquay.peer.UpdateSequence;
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

    private static final long LEAST_FRESH_MILLIS = 1_500L;

    /**
     * An engine with requests from here that is not heard for this long stands still or is cut off: five tellings of its load,
     * and far more than the pause between two events.
     */
    private static final long SILENT_MILLIS = 1_000L;

    /** Against the round in which news comes; one without requests from here is heard in rounds alone. */
    private static final double SILENT_ROUNDS = 2.0;

    /** Two tellings of the load of an engine with requests from here; one that missed them may stand still. */
    private static final long DOUBT_MILLIS = 400L;

    /** Over how long requests sent from here are averaged, to tell what other entries send. */
    private static final double SEND_HALF_LIFE_MILLIS = 1_000.0;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final ClientPool pool;
    private final Listing listing = new Listing();
    private final NamedLimit limit = new NamedLimit();
    private final TryHistory tries = new TryHistory();
    private final Decayed sends = new Decayed(SEND_HALF_LIFE_MILLIS);
    private final Map<String, Integer> adaptersInUse = new HashMap<>();
    private final Map<String, Integer> modelsInUse = new HashMap<>();
    private ReplicaRecord record;
    private EngineNews news;
    private long newsAtMillis = Long.MIN_VALUE / 2;
    private long heardMillis = Long.MIN_VALUE / 2;
    private long busySinceMillis = Long.MIN_VALUE / 2;
    private long freshMillis = LEAST_FRESH_MILLIS;
    private long silentMillis = SILENT_MILLIS;
    private int inFlight;
    private int sentSinceNews;
    private long tokensSinceNews;
    private Use toldUse = new Use(Set.of(), Set.of());
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
        listing.listed();
        if (!takesWork()) {
            pool.withdrawWaiting();
        }
    }

    /** Its row is missing; it may come back. */
    void missing() {
        listing.missing();
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

    TryHistory tries() {
        return tries;
    }

    int inFlight() {
        return inFlight;
    }

    /** Its pool gives back what waits for a connection there, as it would arrive too late. */
    void gone() {
        gone = true;
        pool.close();
    }

    /** Whether new work may be sent here at all. */
    boolean takesWork() {
        return !gone && !replaced && !record.draining() && !(news != null && news.isDraining());
    }

    /** Whether its row is missing and nothing has told since that it stays. */
    boolean mayHaveLeft() {
        return listing.mayHaveLeft();
    }

    boolean isGone() {
        return gone;
    }

    /** Another replica has this one's address. */
    void replaced() {
        replaced = true;
    }

    boolean isReplaced() {
        return replaced;
    }

    void news(EngineNews newer, long nowMillis) {
        boolean otherLife =
                record.bornMillis() != 0 && newer.getBornMillis() != 0 && newer.getBornMillis() < record.bornMillis();
        boolean older = news != null
                && newer.getBornMillis() == news.getBornMillis()
                && UpdateSequence.isSuperseded(newer.getNumber(), news.getNumber());
        boolean isLoadOnly = !newer.isSetModels();
        boolean isOfUnknown = isLoadOnly && (news == null || newer.getBornMillis() != news.getBornMillis());
        if (otherLife || older || isOfUnknown) {
            return;
        }
        if (isLoadOnly) {
            newer.setModels(news.getModels()).setNearModels(news.getNearModels());
        }
        news = newer;
        newsAtMillis = nowMillis;
        listing.heard(newer.isDraining());
        if (!takesWork()) {
            pool.withdrawWaiting();
        }
        sentSinceNews = 0;
        tokensSinceNews = 0;
    }

    /** An answer has begun; a replica that is about to leave says that it closes the connection. */
    void answerBegan(boolean closes) {
        listing.heard(closes);
    }

    /** What its newest answer names as the requests a second that it takes from all entries together. */
    void limit(OptionalDouble perSecond, int entries, DoubleSupplier phase, long nowMillis) {
        limit.named(id(), perSecond, entries, phase, nowMillis);
    }

    /** How long until its limit lets this entry send it another request; 0 if it may now, or there is no limit. */
    long limitedMillis(long nowMillis) {
        return limit.waitMillis(nowMillis);
    }

    /** Bytes of an answer have come from it. */
    void heard(long nowMillis) {
        heardMillis = nowMillis;
    }

    /**
     * Whether an engine that told of itself before does so no more, nor answers anything.
     *
     * <p>Failure: a VM stands still, and with it the engine and the process beside it. Symptom: what it was sent is answered
     * when it wakes, seconds later, and what its callers gave up meanwhile is run all the same. Only the process that tells of
     * it being gone is not enough: the engine's own answers count too. Of an engine without a request from here little is told,
     * so that its silence says less, and counts from its first request on.
     */
    boolean isSilent(long nowMillis) {
        if (news == null) {
            return false;
        }
        long heardAtMillis = Math.max(newsAtMillis, heardMillis);
        return inFlight > 0
                ? nowMillis - Math.max(heardAtMillis, busySinceMillis) > SILENT_MILLIS
                : nowMillis - heardAtMillis > silentMillis;
    }

    /**
     * Whether an engine that told of itself before may stand still, though it has not been unheard for long enough to be
     * taken for silent: neither it nor the process beside it was heard since a request was sent there, or lately.
     *
     * @param sentMillis when the request was sent.
     * @param nowMillis the steady time.
     */
    boolean isInDoubt(long sentMillis, long nowMillis) {
        long heardAtMillis = Math.max(newsAtMillis, heardMillis);
        return news != null && (heardAtMillis < sentMillis || nowMillis - heardAtMillis > DOUBT_MILLIS);
    }

    /** What the process beside the engine told, while it counts. */
    Optional<EngineNews> freshNews(long nowMillis) {
        return nowMillis - newsAtMillis <= freshMillis ? Optional.of(news) : Optional.empty();
    }

    /** How many processes the one beside the engine tells; the more, the longer its rounds take. */
    void tellers(int receivers) {
        long roundMillis = UpdateInterval.periodMillis(receivers);
        freshMillis = Math.max(LEAST_FRESH_MILLIS, Math.round(FRESH_ROUNDS * roundMillis));
        silentMillis = Math.max(SILENT_MILLIS, Math.round(SILENT_ROUNDS * roundMillis));
    }

    boolean holds(String model, long nowMillis) {
        return freshNews(nowMillis)
                .map(fresh -> fresh.getModels().stream()
                        .anyMatch(held -> held.getName().equals(model)))
                .orElseGet(() ->
                        record.models().stream().anyMatch(held -> held.name().equals(model)));
    }

    boolean holdsAdapter(String model, String adapter, long nowMillis) {
        return freshNews(nowMillis)
                .map(fresh -> fresh.getModels().stream()
                        .filter(held -> held.getName().equals(model))
                        .map(HeldModel::getAdapters)
                        .anyMatch(adapters -> adapters.contains(adapter)))
                .orElse(false);
    }

    /** Notes an adapter that the process beside the engine has just said to be there, before its next news. */
    void adapterPresent(String model, String adapter) {
        if (news == null) {
            return;
        }
        news.getModels().stream()
                .filter(held -> held.getName().equals(model))
                .filter(held -> !held.getAdapters().contains(adapter))
                .findFirst()
                .ifPresent(held -> held.addToAdapters(adapter));
    }

    int adaptersHeld(long nowMillis) {
        return freshNews(nowMillis)
                .map(fresh -> fresh.getModels().stream()
                        .mapToInt(held -> held.getAdapters().size())
                        .sum())
                .orElse(0);
    }

    /** The replica lacks what the news said it held, or another one has its address; the next news tells. */
    void misdirected(Optional<String> model, Optional<String> adapter) {
        if (news == null || model.isEmpty()) {
            tries.unreachable(EventLoop.nowMillis());
            return;
        }
        news.getModels().removeIf(held -> adapter.isEmpty() && held.getName().equals(model.get()));
        adapter.ifPresent(name -> news.getModels().stream()
                .filter(held -> held.getName().equals(model.get()))
                .forEach(held -> held.getAdapters().remove(name)));
    }

    /**
     * Requests in the replica by the time that one sent now is there. All entries hear the same news and send to the same
     * replica until the next, so what this one has sent since is taken to be sent by each.
     */
    int expectedLoad(long nowMillis) {
        return freshNews(nowMillis)
                .map(fresh -> Math.max(
                        inFlight,
                        fresh.getRunning() + fresh.getWaiting() + sentSinceNews * Math.max(1, fresh.getEntries())))
                .orElse(inFlight);
    }

    /**
     * Whether the engine is taken to have a place and memory for one more. One that has not makes another request be put
     * back and read anew, or lets this one wait in it where nobody can tell whether it runs.
     *
     * @param slots requests that it runs at once.
     * @param tokens memory that the request is expected to take.
     * @param nowMillis the steady time.
     */
    boolean hasRoomFor(int slots, long tokens, long nowMillis) {
        return freshNews(nowMillis)
                .map(fresh -> hasRoomFor(fresh, slots, tokens, nowMillis))
                .orElse(inFlight < slots);
    }

    /** Other entries are taken to have sent, since the news, at the pace at which this one sends lately. */
    private boolean hasRoomFor(EngineNews fresh, int slots, long tokens, long nowMillis) {
        double seconds = (nowMillis - newsAtMillis) / MILLIS_PER_SECOND;
        double byOthers = Math.max(0, fresh.getEntries() - 1) * sends.perSecond(nowMillis) * seconds;
        double load = Math.max(inFlight, fresh.getRunning() + fresh.getWaiting() + sentSinceNews + byOthers);
        double usedTokens = fresh.getKvUsedTokens() + tokensSinceNews + byOthers * tokens;
        boolean fits = fresh.getKvTotalTokens() == 0 || usedTokens + tokens <= fresh.getKvTotalTokens();
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
    boolean isUseChanged(long nowMillis) {
        Use now = new Use(
                Set.copyOf(adaptersInUse.keySet()),
                modelsInUse.keySet().stream()
                        .filter(model -> !holds(model, nowMillis))
                        .collect(Collectors.toUnmodifiableSet()));
        boolean changed = !now.equals(toldUse);
        toldUse = now;
        return changed;
    }

    /** How long the engine loads a model still; meanwhile it takes no order for an adapter. */
    long loadingMillis(long nowMillis) {
        return freshNews(nowMillis)
                .filter(EngineNews::isSetLoadingModel)
                .map(fresh -> Math.max(1, fresh.getLoadingMillis() - (nowMillis - newsAtMillis)))
                .orElse(0L);
    }

    void began(Optional<String> model, Optional<String> adapter, long tokens, long nowMillis) {
        tokensSinceNews += tokens;
        sends.add(1, nowMillis);
        limit.sent(nowMillis);
        if (inFlight == 0 && !isSilent(nowMillis)) {
            busySinceMillis = nowMillis;
        }
        inFlight++;
        sentSinceNews++;
        model.ifPresent(name -> modelsInUse.merge(name, 1, Integer::sum));
        adapter.ifPresent(name -> adaptersInUse.merge(model.orElse("") + "/" + name, 1, Integer::sum));
    }

    void ended(Optional<String> model, Optional<String> adapter) {
        inFlight--;
        model.ifPresent(name -> modelsInUse.computeIfPresent(name, (key, count) -> count > 1 ? count - 1 : null));
        adapter.ifPresent(name -> adaptersInUse.computeIfPresent(
                model.orElse("") + "/" + name, (key, count) -> count > 1 ? count - 1 : null));
    }

    /**
     * What requests from here use.
     *
     * @param adapters adapters, as {@code model/adapter}.
     * @param leaving models that the engine no longer offers.
     */
    private record Use(Set<String> adapters, Set<String> leaving) {}
}
