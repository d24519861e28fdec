package io.waxwingquay.suspect;

import io.waxwingquay.common.Clock;
import io.waxwingquay.transport.generated.SuspectRecord;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Bounded table of the suspects known to this process.
 *
 * <p>Records only grow: a merge takes the union of the crash names and the later expiry, and a cleared record stays
 * cleared. Merges in any order, with any repetition, therefore give the same table. When the table is full, records
 * with a single crash are dropped first, because losing a quarantine costs targets. The factory that creates the table
 * decides how much a successful answer counts.
 */
public final class SuspectTable implements SuspectRegistry {

    private static final int QUARANTINE_CRASHES = 2;
    private static final int MAX_CRASH_IDS = 8;

    private final Clock clock;
    private final long retentionMillis;
    private final int maxRecords;
    private final Function<CrashHistory, Standing> standingRule;
    private final Map<Long, CrashHistory> histories = new HashMap<>();

    /**
     * Creates an empty table in which clearing a record counts only while a single crash is recorded: a request with
     * two crashes stays quarantined until its record expires, whoever cleared it.
     *
     * @param clock the clock; expiry uses wall-clock time, as other processes read it.
     * @param retentionMillis how long a record is kept after its last crash.
     * @param maxRecords the most records kept.
     */
    public SuspectTable(Clock clock, long retentionMillis, int maxRecords) {
        this(clock, retentionMillis, maxRecords, CrashHistory::standingUntilExpiry);
    }

    private SuspectTable(
            Clock clock, long retentionMillis, int maxRecords, Function<CrashHistory, Standing> standingRule) {
        this.clock = clock;
        this.retentionMillis = retentionMillis;
        this.maxRecords = maxRecords;
        this.standingRule = standingRule;
    }

    /**
     * Creates an empty table in which a successful answer cancels all crashes known before it, even two or more. For
     * requests that many callers send alike: those that run on many targets are present at many crashes that they did
     * not cause, whereas one that crashes every target it runs on is never answered.
     *
     * @param clock the clock.
     * @param retentionMillis how long a record is kept after its last crash.
     * @param maxRecords the most records kept.
     * @return the table.
     */
    public static SuspectTable trustingAnswers(Clock clock, long retentionMillis, int maxRecords) {
        return new SuspectTable(clock, retentionMillis, maxRecords, CrashHistory::standingByOpenCrashes);
    }

    /**
     * Returns whether the table is empty, which saves callers the lookup of a request.
     *
     * @return whether there is no record.
     */
    public synchronized boolean isEmpty() {
        return histories.isEmpty();
    }

    /** {@inheritDoc} */
    @Override
    public synchronized Standing standing(long fingerprint) {
        return Optional.ofNullable(histories.get(fingerprint))
                .filter(history -> history.expiresAtEpochMillis > clock.epochMillis())
                .map(standingRule)
                .orElse(Standing.CLEAR);
    }

    /** {@inheritDoc} */
    @Override
    public synchronized List<SuspectRecord> recordCrash(String crashId, Collection<Long> fingerprints) {
        CrashHistory crash = new CrashHistory(Set.of(crashId), Set.of(), clock.epochMillis() + retentionMillis, false);
        List<SuspectRecord> changed = fingerprints.stream()
                .distinct()
                .map(fingerprint -> join(fingerprint, crash).toRecord(fingerprint))
                .toList();
        dropExcess();
        return changed;
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void clear(long fingerprint) {
        histories.computeIfPresent(fingerprint, (key, history) -> history.cleared());
    }

    /**
     * Cancels a recorded crash that turned out not to have happened.
     *
     * @param crashId the crash's name.
     * @param fingerprint a request that it was recorded for.
     */
    public synchronized void absolve(String crashId, long fingerprint) {
        histories.computeIfPresent(fingerprint, (key, history) -> history.absolved(crashId));
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void merge(List<SuspectRecord> records) {
        long nowMillis = clock.epochMillis();
        records.stream()
                .filter(record -> record.getExpiresAtEpochMillis() > nowMillis)
                .filter(record -> record.getCrashIds() != null)
                .forEach(record -> join(record.getFingerprint(), CrashHistory.of(record, nowMillis + retentionMillis)));
        dropExcess();
    }

    /** {@inheritDoc} */
    @Override
    public synchronized List<SuspectRecord> snapshot() {
        long nowMillis = clock.epochMillis();
        histories.values().removeIf(history -> history.expiresAtEpochMillis <= nowMillis);
        return histories.entrySet().stream()
                .map(entry -> entry.getValue().toRecord(entry.getKey()))
                .toList();
    }

    private CrashHistory join(long fingerprint, CrashHistory other) {
        long nowMillis = clock.epochMillis();
        return histories.compute(
                fingerprint,
                (key, known) -> known == null || known.expiresAtEpochMillis <= nowMillis ? other : known.join(other));
    }

    private void dropExcess() {
        if (histories.size() <= maxRecords) {
            return;
        }
        long nowMillis = clock.epochMillis();
        histories.values().removeIf(history -> history.expiresAtEpochMillis <= nowMillis);
        histories.entrySet().stream()
                .map(entry -> new DropRank(
                        entry.getKey(), standingRule.apply(entry.getValue()), entry.getValue().expiresAtEpochMillis))
                .sorted(Comparator.comparing(DropRank::standing).thenComparing(DropRank::expiresAtEpochMillis))
                .limit(Math.max(0, histories.size() - maxRecords))
                .toList()
                .forEach(dropped -> histories.remove(dropped.fingerprint));
    }

    private record DropRank(long fingerprint, Standing standing, long expiresAtEpochMillis) {}

    private record CrashHistory(
            Set<String> crashIds, Set<String> absolvedIds, long expiresAtEpochMillis, boolean isCleared) {

        static CrashHistory of(SuspectRecord record, long maxExpiryEpochMillis) {
            long expiryEpochMillis = Math.min(record.getExpiresAtEpochMillis(), maxExpiryEpochMillis);
            Set<String> absolved = record.isSetAbsolvedIds() ? record.getAbsolvedIds() : Set.of();
            return new CrashHistory(
                    bounded(record.getCrashIds()), bounded(absolved), expiryEpochMillis, record.isCleared());
        }

        CrashHistory join(CrashHistory other) {
            return new CrashHistory(
                    union(crashIds, other.crashIds),
                    union(absolvedIds, other.absolvedIds),
                    Math.max(expiresAtEpochMillis, other.expiresAtEpochMillis),
                    isCleared || other.isCleared);
        }

        CrashHistory cleared() {
            return new CrashHistory(crashIds, union(absolvedIds, crashIds), expiresAtEpochMillis, true);
        }

        CrashHistory absolved(String crashId) {
            return new CrashHistory(crashIds, union(absolvedIds, Set.of(crashId)), expiresAtEpochMillis, isCleared);
        }

        Standing standingUntilExpiry() {
            if (crashIds.size() >= QUARANTINE_CRASHES) {
                return Standing.QUARANTINED;
            }
            return crashIds.isEmpty() || isCleared ? Standing.CLEAR : Standing.SUSPECT;
        }

        Standing standingByOpenCrashes() {
            long openCrashes = crashIds.stream()
                    .filter(crashId -> !absolvedIds.contains(crashId))
                    .count();
            if (openCrashes >= QUARANTINE_CRASHES) {
                return Standing.QUARANTINED;
            }
            return openCrashes == 0 ? Standing.CLEAR : Standing.SUSPECT;
        }

        SuspectRecord toRecord(long fingerprint) {
            SuspectRecord record =
                    new SuspectRecord(fingerprint, new TreeSet<>(crashIds), expiresAtEpochMillis, isCleared);
            return absolvedIds.isEmpty() ? record : record.setAbsolvedIds(new TreeSet<>(absolvedIds));
        }

        private static Set<String> union(Set<String> some, Set<String> more) {
            Set<String> all = new TreeSet<>(some);
            all.addAll(more);
            return bounded(all);
        }

        // Keeps the smallest names, so that processes that learned them in different orders agree.
        private static Set<String> bounded(Set<String> crashIds) {
            Set<String> kept = new TreeSet<>();
            crashIds.stream().sorted().limit(MAX_CRASH_IDS).forEach(kept::add);
            return kept;
        }
    }
}
