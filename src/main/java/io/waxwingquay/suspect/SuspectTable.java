package io.waxwingquay.suspect;

import io.waxwingquay.common.Clock;
import io.waxwingquay.transport.generated.SuspectRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The suspects that this process knows, bounded in number.
 *
 * <p>A record only grows: crash names are united, the later expiry stays, and cleared stays cleared. So any order
 * and any repetition of merges gives the same table. Cleared counts only beside a single crash name; a request that
 * two crashes name stays refused until its record expires, whoever cleared it. When the table is full it drops
 * single-crash records first, as losing a quarantine costs targets.
 */
public final class SuspectTable implements SuspectBook {

    private static final int QUARANTINE_CRASHES = 2;
    private static final int MAX_CRASH_IDS = 8;

    private final Clock clock;
    private final long retentionMillis;
    private final int maxRecords;
    private final Map<Long, Entry> entries = new HashMap<>();

    /**
     * An empty table.
     *
     * @param clock the time; expiry is by wall clock, as other processes read it.
     * @param retentionMillis how long after its last crash a record stays.
     * @param maxRecords the most records kept.
     */
    public SuspectTable(Clock clock, long retentionMillis, int maxRecords) {
        this.clock = clock;
        this.retentionMillis = retentionMillis;
        this.maxRecords = maxRecords;
    }

    /** {@inheritDoc} */
    @Override
    public synchronized Standing standing(long fingerprint) {
        return Optional.ofNullable(entries.get(fingerprint))
                .filter(entry -> entry.expiresAtEpochMillis > clock.epochMillis())
                .map(Entry::standing)
                .orElse(Standing.CLEAR);
    }

    /** {@inheritDoc} */
    @Override
    public synchronized List<SuspectRecord> recordCrash(String crashId, Collection<Long> fingerprints) {
        Entry crash = new Entry(Set.of(crashId), clock.epochMillis() + retentionMillis, false);
        List<SuspectRecord> changed = fingerprints.stream()
                .distinct()
                .map(fingerprint -> join(fingerprint, crash).toRecord(fingerprint))
                .toList();
        bound();
        return changed;
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void clear(long fingerprint) {
        entries.computeIfPresent(fingerprint, (key, entry) -> entry.cleared());
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void merge(List<SuspectRecord> records) {
        long nowMillis = clock.epochMillis();
        records.stream()
                .filter(record -> record.getExpiresAtEpochMillis() > nowMillis)
                .filter(record -> record.getCrashIds() != null)
                .forEach(record -> join(record.getFingerprint(), Entry.of(record, nowMillis + retentionMillis)));
        bound();
    }

    /** {@inheritDoc} */
    @Override
    public synchronized List<SuspectRecord> snapshot() {
        long nowMillis = clock.epochMillis();
        entries.values().removeIf(entry -> entry.expiresAtEpochMillis <= nowMillis);
        return entries.entrySet().stream()
                .map(entry -> entry.getValue().toRecord(entry.getKey()))
                .toList();
    }

    private Entry join(long fingerprint, Entry other) {
        long nowMillis = clock.epochMillis();
        return entries.compute(
                fingerprint,
                (key, known) -> known == null || known.expiresAtEpochMillis <= nowMillis ? other : known.join(other));
    }

    private void bound() {
        if (entries.size() <= maxRecords) {
            return;
        }
        long nowMillis = clock.epochMillis();
        entries.values().removeIf(entry -> entry.expiresAtEpochMillis <= nowMillis);
        List<Map.Entry<Long, Entry>> byWorth = new ArrayList<>(entries.entrySet());
        byWorth.sort(Comparator.comparing(
                        (Map.Entry<Long, Entry> entry) -> entry.getValue().standing())
                .thenComparing(entry -> entry.getValue().expiresAtEpochMillis));
        byWorth.stream()
                .limit(Math.max(0, entries.size() - maxRecords))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(entries::remove);
    }

    private record Entry(Set<String> crashIds, long expiresAtEpochMillis, boolean isCleared) {

        static Entry of(SuspectRecord record, long latestEpochMillis) {
            long expiry = Math.min(record.getExpiresAtEpochMillis(), latestEpochMillis);
            return new Entry(bounded(record.getCrashIds()), expiry, record.isCleared());
        }

        Entry join(Entry other) {
            Set<String> united = new TreeSet<>(crashIds);
            united.addAll(other.crashIds);
            return new Entry(
                    bounded(united),
                    Math.max(expiresAtEpochMillis, other.expiresAtEpochMillis),
                    isCleared || other.isCleared);
        }

        Entry cleared() {
            return new Entry(crashIds, expiresAtEpochMillis, true);
        }

        Standing standing() {
            if (crashIds.size() >= QUARANTINE_CRASHES) {
                return Standing.QUARANTINED;
            }
            return crashIds.isEmpty() || isCleared ? Standing.CLEAR : Standing.SUSPECT;
        }

        SuspectRecord toRecord(long fingerprint) {
            return new SuspectRecord(fingerprint, new TreeSet<>(crashIds), expiresAtEpochMillis, isCleared);
        }

        // The smallest names are kept, so that processes that saw them in another order agree.
        private static Set<String> bounded(Set<String> crashIds) {
            Set<String> kept = new TreeSet<>();
            crashIds.stream().sorted().limit(MAX_CRASH_IDS).forEach(kept::add);
            return kept;
        }
    }
}
