package io.waxwingquay.suspect;

import io.waxwingquay.transport.generated.PromptPartNews;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * The prompt parts and whole requests under which targets crashed, as known to a process, and the sample of them that is
 * sent with each status update. A whole request is treated as a part that no other request shares. Not thread-safe:
 * everything runs on the event loop.
 *
 * <p>Many sound requests may run on a target that crashes, and many targets may crash together, so the number of crashes
 * says little about a part. What counts is a chain: each crash happened under a request that was sent when the one before
 * was known, and no request with the part was answered anywhere since. Targets that crash together make a chain of one,
 * however many they are and however late their crashes are heard of.
 *
 * <p>All parts of a request that crashes targets have the same chain until a sound request with one of them is answered. So
 * a crash weighs more for the last shared part, which the fewest others have, than for those before it: it is quarantined
 * first, and the others only if crashes go on. A crash after a long run weighs less, as a sound request is more likely to
 * be running by chance when its target crashes.
 *
 * <p>Sound streams are cut by each crash of a target that runs another request. Of whole requests with the same crashes,
 * the one with the heavier chain is to blame, and all are isolated from each other until their crashes differ. A part is to
 * blame only for crashes under several requests: where those of a single one explain it, that request is the cause.
 *
 * <p>A sound part may run beside several crashes of another part in turn. While it is quarantined, nothing with it is sent, so
 * no answer could release it. It is released when a quarantined part has all of its crashes and at least one more, which
 * explains them, and no crash of either was added for as long as news of one may take to arrive; otherwise a part that crashes
 * targets could be released because one of its crashes is not known yet. If the released part crashes targets itself, three
 * more crashes quarantine it again.
 *
 * <p>The crashes of all processes form a union, and one that is absolved stays so, so a lost, repeated, late or reordered
 * update does no harm. Every process forwards what it receives, so that a restarted process relearns what it knew before.
 */
public final class PromptPartSuspects {

    /** Weight of the chain of crashes at which requests with the part are rejected. */
    private static final int QUARANTINE_WEIGHT = 6;

    /** The same while most of the recent crashes happened without the part; no crash adds weight beyond it. */
    private static final int MAX_WEIGHT = 10;

    /** Weight of a crash that is weak evidence, wherever the part stands. */
    private static final int WEAK_WEIGHT = 1;

    /** Weight of the chain of crashes at which requests with the part are isolated from each other. */
    private static final int SUSPECT_WEIGHT = 4;

    /** Crashes after which whole requests that were present at all of them are rejected together. */
    private static final int SHARED_CRASHES = 4;

    /** Crashes that a part must have beyond those of any single request with it. */
    private static final int CRASHES_BEYOND_ONE_REQUEST = 2;

    private static final long RETENTION_MILLIS = 600_000L;

    /** Deducted from the remaining lifetime of a record when it is sent, as with the records of whole requests. */
    private static final long HOP_DEDUCTION_MILLIS = 500L;

    /** Time within which a crash is known to every process. */
    private static final long NEWS_MILLIS = 3_000L;

    /**
     * Time within which a process mostly knows all requests that one crash has cut, also at other processes. A verdict that
     * is younger may refuse a sound request whose connection was the first to be noticed; the cause waits as well.
     */
    private static final long SETTLE_MILLIS = 300L;

    private static final int MAX_PARTS = 512;

    /** The most records merged from one update. */
    private static final int MAX_MERGED_RECORDS = 32;

    /** The most records with open crashes, and, in the next constant, without any, sent with one update. */
    private static final int OPEN_RECORDS_PER_UPDATE = 6;

    private static final int ABSOLVED_RECORDS_PER_UPDATE = 3;

    private static final System.Logger LOG = System.getLogger("waxwingquay.suspect");

    private final LongSupplier clockMillis;
    private final RandomGenerator random;
    private final Map<Long, CrashChain> chains = new HashMap<>();
    private final RecentCrashes recentCrashes;
    private Listener listener = Listener.NONE;

    PromptPartSuspects(LongSupplier clockMillis, RandomGenerator random) {
        this.clockMillis = clockMillis;
        this.random = random;
        this.recentCrashes = new RecentCrashes(clockMillis, NEWS_MILLIS);
    }

    /**
     * Sets what is notified of changes.
     *
     * @param newListener the listener.
     */
    public void listener(Listener newListener) {
        listener = newListener;
    }

    /**
     * Returns what is known of a part, as it is sent to other processes.
     *
     * @param part the hash of the part.
     * @return the record, empty if there is none.
     */
    public Optional<PromptPartNews> record(long part) {
        return Optional.ofNullable(chains.get(part))
                .map(chain -> chain.toNews(part, clockMillis.getAsLong(), HOP_DEDUCTION_MILLIS));
    }

    /**
     * Returns the hash that stands for a prompt part.
     *
     * @param id the id of the part.
     * @return a 64-bit hash, which is the same in every process.
     */
    public static long hash(String id) {
        return Fingerprint.of(List.of(id.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Returns whether no records are known, which saves callers the lookup of each part.
     *
     * @return whether every part is clear.
     */
    public boolean isEmpty() {
        return chains.isEmpty();
    }

    /**
     * Returns the weight of the heaviest chain of crashes under a part.
     *
     * @param part the hash of the part.
     * @return the sum of the weights of its crashes; 0 if none counts.
     */
    public int chainWeight(long part) {
        CrashChain chain = chains.get(part);
        return chain == null || chain.isExpired(clockMillis.getAsLong()) ? 0 : chain.weight();
    }

    /**
     * Returns whether requests with a part are rejected.
     *
     * @param part the hash of the part.
     * @return whether it has a chain of crashes that is heavy enough.
     */
    public boolean isQuarantined(long part) {
        int weight = chainWeight(part);
        return weight >= QUARANTINE_WEIGHT && !isPresentByChance(part);
    }

    /**
     * Returns whether a part or a whole request may have been present at its crashes by chance: another request explains
     * them, or most of the recent crashes happened without it and its chain is not heavy enough for that.
     *
     * @param part the hash of the part or request.
     * @return whether it is not to blame; false if no crashes are known.
     */
    public boolean isPresentByChance(long part) {
        CrashChain chain = chains.get(part);
        return chain != null
                && (recentCrashes.mayCoincideWith(chain) && chain.weight() < MAX_WEIGHT || isExplainedByRequest(chain));
    }

    /** Returns whether another whole request explains the crashes under a part or a whole request. */
    private boolean isExplainedByRequest(CrashChain chain) {
        return chains.values().stream()
                .filter(other -> other != chain && other.isOfWholeRequest())
                .anyMatch(other -> chain.isOfWholeRequest()
                        ? isOutweighed(chain, other)
                        : chain.countCrashesBeyond(other) < CRASHES_BEYOND_ONE_REQUEST);
    }

    /** Returns whether another whole request has all of the crashes of one, and is at least as likely to cause them. */
    private static boolean isOutweighed(CrashChain chain, CrashChain other) {
        if (chain.countCrashesBeyond(other) > 0 || other.weight() < chain.weight()) {
            return false;
        }
        return other.weight() > chain.weight()
                || other.countOpenCrashes() > chain.countOpenCrashes()
                || chain.countOpenCrashes() < SHARED_CRASHES;
    }

    /**
     * Returns whether a crash was added so lately that others with it may not be known yet.
     *
     * @param part the hash of the part.
     * @return whether its standing may still change by the same crash.
     */
    public boolean hasGrownLately(long part) {
        CrashChain chain = chains.get(part);
        return chain != null && chain.hasGrownSince(clockMillis.getAsLong() - SETTLE_MILLIS);
    }

    /**
     * Returns whether requests with a part are isolated from each other.
     *
     * @param part the hash of the part.
     * @return whether few more crashes would quarantine it.
     */
    public boolean isSuspect(long part) {
        return chainWeight(part) >= SUSPECT_WEIGHT && !isQuarantined(part);
    }

    /**
     * Records that a target crashed while it ran a request.
     *
     * @param target one incarnation of the target; the same incarnation counts once.
     * @param part the hash of a part of the request's prompt, or of the whole request.
     * @param position where the part stands in the request's prompt.
     * @param isWeakEvidence whether the request may well have been running by chance, as after a long run.
     * @param knownWeight the weight of the part's chain that was known when the request was sent.
     */
    public void recordCrash(String target, long part, Position position, boolean isWeakEvidence, int knownWeight) {
        boolean wasQuarantined = isQuarantined(part);
        CrashChain chain = chainOf(part);
        if (position == Position.WHOLE) {
            chain.markWholeRequest();
        }
        int weight = isWeakEvidence ? WEAK_WEIGHT : position.weight;
        long crash = SharedSuspects.crashNumber(target);
        recentCrashes.add(crash);
        chain.record(crash, Math.min(MAX_WEIGHT, knownWeight + weight), clockMillis.getAsLong());
        chain.extend(clockMillis.getAsLong() + RETENTION_MILLIS);
        dropExcess();
        noteChange(part, wasQuarantined);
    }

    /**
     * Retracts a recorded crash that turned out not to have happened, and with it those that its chain goes on to.
     *
     * @param target the incarnation of the target.
     * @param part the hash of the part.
     */
    public void retractCrash(String target, long part) {
        CrashChain chain = chains.get(part);
        if (chain != null) {
            absolve(part, chain.from(SharedSuspects.crashNumber(target)));
        }
    }

    /**
     * Records that a request with a part was answered in full: none of the crashes known so far was due to the part. The
     * start of an answer shows nothing, as a target may crash later in it.
     *
     * @param part the hash of the part.
     * @return whether other processes should hear of it soon, as few more crashes would quarantine the part there.
     */
    public boolean recordSuccess(long part) {
        CrashChain chain = chains.get(part);
        if (chain == null) {
            return false;
        }
        boolean isUrgent = chain.weight() >= SUSPECT_WEIGHT;
        absolve(part, chain.openCrashes());
        return isUrgent;
    }

    /**
     * Counts the quarantined parts.
     *
     * @return the number of parts.
     */
    public long countQuarantined() {
        return countQuarantined(chain -> !chain.isOfWholeRequest());
    }

    /**
     * Counts the quarantined whole requests.
     *
     * @return the number of requests.
     */
    public long countQuarantinedRequests() {
        return countQuarantined(CrashChain::isOfWholeRequest);
    }

    private long countQuarantined(Predicate<CrashChain> counted) {
        return chains.entrySet().stream()
                .filter(entry -> counted.test(entry.getValue()))
                .filter(entry -> isQuarantined(entry.getKey()))
                .count();
    }

    /**
     * Merges the records of a received update.
     *
     * @param update the records; {@code null} if there are none.
     */
    public void merge(List<PromptPartNews> update) {
        Stream.ofNullable(update)
                .flatMap(List::stream)
                .limit(MAX_MERGED_RECORDS)
                .forEach(this::merge);
        dropExcess();
    }

    private void merge(PromptPartNews received) {
        if (received.getRemainingMillis() <= 0) {
            return;
        }
        long nowMillis = clockMillis.getAsLong();
        boolean wasQuarantined = isQuarantined(received.getPart());
        long remainingMillis = Math.min(received.getRemainingMillis(), RETENTION_MILLIS);
        CrashChain chain = chainOf(received.getPart());
        if (received.isWholeRequest()) {
            chain.markWholeRequest();
        }
        Stream.ofNullable(received.getWeightByCrash())
                .flatMap(weights -> weights.entrySet().stream())
                .forEach(crash -> {
                    recentCrashes.add(crash.getKey());
                    chain.merge(crash.getKey(), Math.min(MAX_WEIGHT, crash.getValue()), nowMillis);
                });
        Stream.ofNullable(received.getAbsolved()).forEach(chain::absolve);
        chain.extend(nowMillis + remainingMillis);
        noteChange(received.getPart(), wasQuarantined);
    }

    /**
     * Samples the records for the next update: those closest to a quarantine first, as these decide what reaches targets,
     * and of those without open crashes the ones that were quarantined, which other processes may still reject. Among equals
     * the sample is random, so that all are covered within a few updates. Parts whose crashes another one explains are released
     * before that.
     *
     * @return a bounded number of records; empty if none are known.
     */
    public List<PromptPartNews> nextUpdate() {
        if (chains.isEmpty()) {
            return List.of();
        }
        long nowMillis = clockMillis.getAsLong();
        chains.values().removeIf(chain -> chain.isExpired(nowMillis));
        releaseExplained(nowMillis);
        List<RankedPart> ranked = chains.entrySet().stream()
                .map(entry -> new RankedPart(
                        entry.getKey(),
                        entry.getValue().weight(),
                        entry.getValue().wasQuarantined(),
                        random.nextLong()))
                .sorted(RankedPart.URGENT_FIRST)
                .toList();
        return Stream.concat(
                        ranked.stream().filter(part -> part.weight > 0).limit(OPEN_RECORDS_PER_UPDATE),
                        ranked.stream().filter(part -> part.weight == 0).limit(ABSOLVED_RECORDS_PER_UPDATE))
                .map(part -> chains.get(part.hash).toNews(part.hash, nowMillis, HOP_DEDUCTION_MILLIS))
                .filter(sent -> sent.getRemainingMillis() > 0)
                .toList();
    }

    /** Absolves each part whose crashes a quarantined part with more crashes explains. */
    private void releaseExplained(long nowMillis) {
        List<CrashChain> quarantined = chains.entrySet().stream()
                .filter(entry -> isQuarantined(entry.getKey()))
                .map(Map.Entry::getValue)
                .toList();
        if (quarantined.isEmpty()) {
            return;
        }
        List<Long> explained = chains.entrySet().stream()
                .filter(entry -> quarantined.stream()
                        .anyMatch(cause -> cause.explains(entry.getValue(), nowMillis - NEWS_MILLIS)))
                .map(Map.Entry::getKey)
                .toList();
        explained.forEach(part -> {
            LOG.log(
                    System.Logger.Level.INFO,
                    "suspect: prompt part explained by another one part={0} crashes={1}",
                    Long.toHexString(part),
                    chains.get(part).openCrashes().size());
            absolve(part, chains.get(part).openCrashes());
        });
    }

    private void absolve(long part, Set<Long> crashes) {
        CrashChain chain = chains.get(part);
        if (chain != null) {
            boolean wasQuarantined = isQuarantined(part);
            chain.absolve(crashes);
            noteChange(part, wasQuarantined);
            if (wasQuarantined && !isQuarantined(part)) {
                listener.released(part);
            }
        }
    }

    /** Returns the chain of a part; what an expired record said no longer counts. */
    private CrashChain chainOf(long part) {
        long nowMillis = clockMillis.getAsLong();
        return chains.compute(
                part, (key, known) -> known == null || known.isExpired(nowMillis) ? new CrashChain() : known);
    }

    private void dropExcess() {
        if (chains.size() <= MAX_PARTS) {
            return;
        }
        long nowMillis = clockMillis.getAsLong();
        chains.values().removeIf(chain -> chain.isExpired(nowMillis));
        List<Long> dropped = chains.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(
                        Comparator.comparingInt(CrashChain::weight).thenComparing(CrashChain::expiresAtMillis)))
                .limit(Math.max(0, chains.size() - MAX_PARTS))
                .map(Map.Entry::getKey)
                .toList();
        dropped.forEach(chains::remove);
    }

    private void noteChange(long part, boolean wasQuarantined) {
        boolean isQuarantined = isQuarantined(part);
        if (isQuarantined == wasQuarantined) {
            return;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "suspect: {0} {1} part={2}",
                chains.get(part).isOfWholeRequest() ? "request" : "prompt part",
                isQuarantined ? "quarantined" : "released",
                Long.toHexString(part));
        if (isQuarantined) {
            chains.get(part).markQuarantined();
            listener.quarantined(part);
        }
    }

    /** Where a part stands among the shared parts of a prompt. */
    public enum Position {
        /** The whole request, which only its own repetitions share. */
        WHOLE(2),
        /** The last shared part. */
        LAST(2),
        /** A part before another shared one. */
        EARLIER(1);

        private final int weight;

        Position(int weight) {
            this.weight = weight;
        }
    }

    /** Notified of changes in this process. */
    public interface Listener {

        /** Does nothing. */
        Listener NONE = new Listener() {
            /** {@inheritDoc} */
            @Override
            public void quarantined(long part) {}

            /** {@inheritDoc} */
            @Override
            public void released(long part) {}
        };

        /**
         * Called when a part becomes quarantined here, by crashes seen here or elsewhere.
         *
         * @param part the hash of the part.
         */
        void quarantined(long part);

        /**
         * Called when what was seen here releases a quarantined part; not when another process has released it.
         *
         * @param part the hash of the part.
         */
        void released(long part);
    }

    private record RankedPart(long hash, int weight, boolean wasQuarantined, long order) {

        private static final Comparator<RankedPart> URGENT_FIRST = Comparator.comparingInt(RankedPart::weight)
                .thenComparing(RankedPart::wasQuarantined)
                .reversed()
                .thenComparingLong(RankedPart::order);
    }
}
