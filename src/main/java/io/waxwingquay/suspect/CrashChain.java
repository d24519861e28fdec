package io.waxwingquay.suspect;

import io.waxwingquay.transport.generated.PromptPartNews;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The crashes under one prompt part or whole request, each with the weight of the chain of crashes that it ends. */
final class CrashChain {

    private static final int MAX_OPEN_CRASHES = 8;

    /** The most absolved crashes that are remembered; a forgotten one could count again if a late update names it. */
    private static final int MAX_ABSOLVED_CRASHES = 32;

    /** The most open crashes, and, in the next constant, absolved ones, that one update names. */
    private static final int OPEN_CRASHES_PER_UPDATE = 3;

    private static final int ABSOLVED_CRASHES_PER_UPDATE = 6;

    private final Map<Long, Integer> weightByOpenCrash = new HashMap<>();
    private final Set<Long> absolved = new LinkedHashSet<>();
    private long expiresAtMillis;
    private long grownAtMillis;
    private boolean wasQuarantined;
    private boolean ofWholeRequest;

    /**
     * Records a crash that this process has seen. One that is known already keeps its weight: a target that survives and
     * breaks single connections would otherwise extend the chain by itself.
     */
    void record(long crash, int weight, long nowMillis) {
        if (!absolved.contains(crash) && weightByOpenCrash.putIfAbsent(crash, weight) == null) {
            grownAtMillis = nowMillis;
            dropExcess();
        }
    }

    /** Merges a crash that another process has recorded. Of two weights the greater counts: a request was sent that late. */
    void merge(long crash, int weight, long nowMillis) {
        if (!absolved.contains(crash)) {
            if (!weightByOpenCrash.containsKey(crash)) {
                grownAtMillis = nowMillis;
            }
            weightByOpenCrash.merge(crash, weight, Math::max);
            dropExcess();
        }
    }

    private void dropExcess() {
        if (weightByOpenCrash.size() > MAX_OPEN_CRASHES) {
            ranked().skip(MAX_OPEN_CRASHES).toList().forEach(weightByOpenCrash::remove);
        }
    }

    void extend(long newExpiresAtMillis) {
        expiresAtMillis = Math.max(expiresAtMillis, newExpiresAtMillis);
    }

    void absolve(Set<Long> crashes) {
        weightByOpenCrash.keySet().removeAll(crashes);
        absolved.addAll(crashes);
        absolved.stream()
                .limit(Math.max(0, absolved.size() - MAX_ABSOLVED_CRASHES))
                .toList()
                .forEach(absolved::remove);
    }

    /** Returns a crash and the open ones that are heavier, which may have been counted on top of it. */
    Set<Long> from(long crash) {
        Integer weight = weightByOpenCrash.get(crash);
        Set<Long> later = weight == null
                ? new HashSet<>()
                : weightByOpenCrash.keySet().stream()
                        .filter(other -> weightByOpenCrash.get(other) > weight)
                        .collect(Collectors.toCollection(HashSet::new));
        later.add(crash);
        return later;
    }

    Set<Long> openCrashes() {
        return new HashSet<>(weightByOpenCrash.keySet());
    }

    /** Returns whether the part was present at a crash, absolved or not. */
    boolean knows(long crash) {
        return weightByOpenCrash.containsKey(crash) || absolved.contains(crash);
    }

    int countOpenCrashes() {
        return weightByOpenCrash.size();
    }

    /** Returns how many open crashes are none of another chain. */
    int countCrashesBeyond(CrashChain other) {
        return (int) weightByOpenCrash.keySet().stream()
                .filter(crash -> !other.weightByOpenCrash.containsKey(crash))
                .count();
    }

    void markWholeRequest() {
        ofWholeRequest = true;
    }

    /** Returns whether the crashes are those under one whole request, not under a part that several may share. */
    boolean isOfWholeRequest() {
        return ofWholeRequest;
    }

    /** Returns the weight of the heaviest chain; 0 if no crash counts. */
    int weight() {
        return weightByOpenCrash.values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
    }

    /**
     * Returns whether this chain has all open crashes of another one, which has some, and at least one more.
     *
     * @param settledMillis the latest time at which a crash of either may have been added.
     */
    boolean explains(CrashChain other, long settledMillis) {
        return Math.max(grownAtMillis, other.grownAtMillis) <= settledMillis
                && !other.weightByOpenCrash.isEmpty()
                && weightByOpenCrash.size() > other.weightByOpenCrash.size()
                && weightByOpenCrash.keySet().containsAll(other.weightByOpenCrash.keySet());
    }

    boolean hasGrownSince(long sinceMillis) {
        return !weightByOpenCrash.isEmpty() && grownAtMillis > sinceMillis;
    }

    void markQuarantined() {
        wasQuarantined = true;
    }

    /** Returns whether its part has been quarantined in this process. */
    boolean wasQuarantined() {
        return wasQuarantined;
    }

    long expiresAtMillis() {
        return expiresAtMillis;
    }

    boolean isExpired(long nowMillis) {
        return expiresAtMillis <= nowMillis;
    }

    PromptPartNews toNews(long part, long nowMillis, long deductionMillis) {
        Map<Long, Integer> open = ranked().limit(OPEN_CRASHES_PER_UPDATE)
                .collect(Collectors.toMap(crash -> crash, weightByOpenCrash::get));
        Set<Long> latestAbsolved = absolved.stream()
                .skip(Math.max(0, absolved.size() - ABSOLVED_CRASHES_PER_UPDATE))
                .collect(Collectors.toSet());
        PromptPartNews news =
                new PromptPartNews(part, open, latestAbsolved, expiresAtMillis - nowMillis - deductionMillis);
        return ofWholeRequest ? news.setWholeRequest(true) : news;
    }

    /** Returns the open crashes, those at the end of the heaviest chains first. */
    private Stream<Long> ranked() {
        return weightByOpenCrash.entrySet().stream()
                .sorted(Map.Entry.<Long, Integer>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey);
    }
}
