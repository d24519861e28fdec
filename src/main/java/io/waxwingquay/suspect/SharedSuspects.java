package io.waxwingquay.suspect;

import io.waxwingquay.common.Clock;
import io.waxwingquay.suspect.SuspectRegistry.Standing;
import io.waxwingquay.transport.generated.SuspectNews;
import io.waxwingquay.transport.generated.SuspectRecord;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The suspects known to a process, and the sample of them that is sent with each status update.
 *
 * <p>The records of all processes form a union that only grows until its records expire, so a lost, repeated, late or
 * reordered update does no harm: a later one carries the same records again. Every process forwards what it receives,
 * so that a restarted process relearns what it knew before.
 */
public final class SharedSuspects {

    /** Longer than a caller keeps resending one request. */
    private static final long RETENTION_MILLIS = 600_000L;

    private static final int MAX_RECORDS = 512;

    /**
     * Deducted from the remaining lifetime of a record when it is sent. Records carry durations and do not age in
     * transit, so two processes exchanging a record over a slow network could keep it alive for ever. The deduction
     * exceeds the usual transit time, so a record that comes back expires earlier than the known one, and the later
     * expiry counts.
     */
    private static final long HOP_DEDUCTION_MILLIS = 500L;

    /** The most records merged from one update. */
    private static final int MAX_MERGED_RECORDS = 64;

    /** Records of each standing sent with one update, sampled anew for each; about 0.6 kB in total. */
    private static final Map<Standing, Integer> RECORDS_PER_UPDATE =
            Map.of(Standing.QUARANTINED, 4, Standing.SUSPECT, 8, Standing.CLEAR, 4);

    private final LongSupplier clockMillis;
    private final RandomGenerator random;
    private final SuspectTable table;
    private final PromptPartSuspects promptParts;

    /**
     * Creates an empty set of suspects.
     *
     * @param clockMillis the monotonic clock.
     * @param random samples the records to send.
     */
    public SharedSuspects(LongSupplier clockMillis, RandomGenerator random) {
        this.clockMillis = clockMillis;
        this.random = random;
        this.table = SuspectTable.trustingAnswers(new MonotonicClock(clockMillis), RETENTION_MILLIS, MAX_RECORDS);
        this.promptParts = new PromptPartSuspects(clockMillis, random);
    }

    /**
     * Returns the prompt parts that are suspect, which are told apart from whole requests.
     *
     * @return the parts.
     */
    public PromptPartSuspects promptParts() {
        return promptParts;
    }

    /**
     * Returns whether no records are known.
     *
     * @return whether every request is clear.
     */
    public boolean isEmpty() {
        return table.isEmpty();
    }

    /**
     * Returns how a request is to be treated.
     *
     * @param fingerprint the request's fingerprint.
     * @return its standing.
     */
    public Standing standing(long fingerprint) {
        return table.standing(fingerprint);
    }

    /**
     * Records that a target crashed while it ran a request.
     *
     * @param target one incarnation of the target; the same incarnation counts once.
     * @param fingerprint the request's fingerprint.
     */
    public void recordCrash(String target, long fingerprint) {
        table.recordCrash(crashId(target), Set.of(fingerprint));
    }

    /**
     * Retracts a recorded crash that turned out not to have happened.
     *
     * @param target the incarnation of the target.
     * @param fingerprint the request's fingerprint.
     */
    public void retractCrash(String target, long fingerprint) {
        table.absolve(crashId(target), fingerprint);
    }

    /**
     * Records that a request was answered successfully.
     *
     * @param fingerprint the request's fingerprint.
     */
    public void recordSuccess(long fingerprint) {
        table.clear(fingerprint);
    }

    /**
     * Counts the requests that are suspect or quarantined.
     *
     * @return the number of requests.
     */
    public long countSuspected() {
        return table.snapshot().stream()
                .filter(record -> table.standing(record.getFingerprint()) != Standing.CLEAR)
                .count();
    }

    /**
     * Merges the records of a received update.
     *
     * @param update the records; {@code null} if there are none.
     */
    public void merge(List<SuspectNews> update) {
        long nowMillis = clockMillis.getAsLong();
        Optional.ofNullable(update)
                .ifPresent(records -> table.merge(records.stream()
                        .limit(MAX_MERGED_RECORDS)
                        .map(received -> toRecord(received, nowMillis))
                        .toList()));
    }

    /**
     * Samples the records for the next update.
     *
     * @return a bounded number of records; empty if none are known.
     */
    public List<SuspectNews> nextUpdate() {
        if (table.isEmpty()) {
            return List.of();
        }
        long nowMillis = clockMillis.getAsLong();
        Map<Standing, List<SuspectRecord>> byStanding = table.snapshot().stream()
                .collect(Collectors.groupingBy(record -> table.standing(record.getFingerprint())));
        return byStanding.entrySet().stream()
                .flatMap(group -> sample(group.getValue(), RECORDS_PER_UPDATE.get(group.getKey())))
                .map(record -> toUpdateRecord(record, nowMillis))
                .filter(sent -> sent.getRemainingMillis() > 0)
                .toList();
    }

    /**
     * Samples records at random for one update. With more suspects than fit in an update, a fixed selection would leave
     * the rest known to one entry only, and those requests would crash targets through each of the other entries. A
     * random sample for each update covers all of them within a few updates; unlike a rotation it cannot fall into step
     * with the order of the recipients.
     */
    private Stream<SuspectRecord> sample(List<SuspectRecord> records, int maxRecords) {
        return records.stream()
                .map(record -> Map.entry(random.nextLong(), record))
                .sorted(Comparator.comparingLong(Map.Entry::getKey))
                .limit(maxRecords)
                .map(Map.Entry::getValue);
    }

    private static SuspectNews toUpdateRecord(SuspectRecord record, long nowMillis) {
        return new SuspectNews(
                record.getFingerprint(),
                toNumbers(record.getCrashIds()),
                record.isSetAbsolvedIds() ? toNumbers(record.getAbsolvedIds()) : Set.of(),
                record.getExpiresAtEpochMillis() - nowMillis - HOP_DEDUCTION_MILLIS);
    }

    private static SuspectRecord toRecord(SuspectNews received, long nowMillis) {
        long remainingMillis = Math.min(received.getRemainingMillis(), RETENTION_MILLIS);
        return new SuspectRecord(
                        received.getFingerprint(), toNames(received.getCrashes()), nowMillis + remainingMillis, false)
                .setAbsolvedIds(toNames(received.getAbsolved()));
    }

    private static Set<Long> toNumbers(Collection<String> names) {
        return names.stream()
                .map(name -> Long.parseUnsignedLong(name, Character.MAX_RADIX))
                .collect(Collectors.toSet());
    }

    private static Set<String> toNames(Collection<Long> numbers) {
        return Stream.ofNullable(numbers)
                .flatMap(Collection::stream)
                .map(number -> Long.toUnsignedString(number, Character.MAX_RADIX))
                .collect(Collectors.toSet());
    }

    private static String crashId(String target) {
        return Long.toUnsignedString(crashNumber(target), Character.MAX_RADIX);
    }

    /** Returns the name of the crash of one incarnation of a target. */
    static long crashNumber(String target) {
        return MurmurHash3.hash128x64(target.getBytes(StandardCharsets.UTF_8))[0];
    }

    /**
     * Uses the monotonic clock for expiry too: wall clocks jump and differ between processes, but updates carry
     * durations only.
     */
    private record MonotonicClock(LongSupplier clockMillis) implements Clock {

        /** {@inheritDoc} */
        @Override
        public long monotonicMillis() {
            return clockMillis.getAsLong();
        }

        /** {@inheritDoc} */
        @Override
        public long epochMillis() {
            return clockMillis.getAsLong();
        }
    }
}
