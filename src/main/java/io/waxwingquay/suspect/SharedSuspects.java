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
 * The suspects that a process knows, and the few of them that travel with each of its datagrams.
 *
 * <p>What is told is a union that only grows until it expires, so a datagram that is lost, doubled, late or overtaken
 * does no harm: the next tells it again. All processes pass on what they hear, so that one that starts again learns of
 * what it knew before.
 */
public final class SharedSuspects {

    /** Longer than a caller comes again and again with one request. */
    private static final long RETENTION_MILLIS = 600_000L;

    private static final int MAX_RECORDS = 512;

    /**
     * Failure: a record is told in durations, and does not age on its way. Symptom: two processes that tell it each other
     * over slow ways keep it for ever. Each hop takes off more than a datagram's usual way, so that what comes back is
     * older than what is known, and the older one never counts.
     */
    private static final long HOP_DEDUCTION_MILLIS = 500L;

    /** The most records taken from one datagram. */
    private static final int MAX_MERGED_RECORDS = 64;

    /** How many records of each standing go with one datagram, drawn anew for each; some 0.6 kB in all. */
    private static final Map<Standing, Integer> RECORDS_PER_UPDATE =
            Map.of(Standing.QUARANTINED, 4, Standing.SUSPECT, 8, Standing.CLEAR, 4);

    private final LongSupplier clockMillis;
    private final RandomGenerator random;
    private final SuspectTable table;

    /**
     * No suspects yet.
     *
     * @param clockMillis the steady clock.
     * @param random draws what is told.
     */
    public SharedSuspects(LongSupplier clockMillis, RandomGenerator random) {
        this.clockMillis = clockMillis;
        this.random = random;
        this.table = SuspectTable.trustingAnswers(new MonotonicClock(clockMillis), RETENTION_MILLIS, MAX_RECORDS);
    }

    /**
     * Whether nothing is known.
     *
     * @return whether every request is clear.
     */
    public boolean isEmpty() {
        return table.isEmpty();
    }

    /**
     * How a request is to be treated.
     *
     * @param fingerprint the request's fingerprint.
     * @return its standing.
     */
    public Standing standing(long fingerprint) {
        return table.standing(fingerprint);
    }

    /**
     * Records that a target went while it ran a request.
     *
     * @param target one life of the target; the same life counts once.
     * @param fingerprint the request's fingerprint.
     */
    public void recordCrash(String target, long fingerprint) {
        table.recordCrash(crashId(target), Set.of(fingerprint));
    }

    /**
     * Records that a target had not gone, contrary to what was recorded.
     *
     * @param target the life of the target.
     * @param fingerprint the request's fingerprint.
     */
    public void retractCrash(String target, long fingerprint) {
        table.absolve(crashId(target), fingerprint);
    }

    /**
     * Records that a request was answered well.
     *
     * @param fingerprint the request's fingerprint.
     */
    public void recordSuccess(long fingerprint) {
        table.clear(fingerprint);
    }

    /**
     * How many requests are refused or suspected.
     *
     * @return the number.
     */
    public long countSuspected() {
        return table.snapshot().stream()
                .filter(record -> table.standing(record.getFingerprint()) != Standing.CLEAR)
                .count();
    }

    /**
     * Takes in what a datagram tells.
     *
     * @param update what it tells; {@code null} if nothing.
     */
    public void merge(List<SuspectNews> update) {
        long nowMillis = clockMillis.getAsLong();
        Optional.ofNullable(update)
                .ifPresent(some -> table.merge(some.stream()
                        .limit(MAX_MERGED_RECORDS)
                        .map(each -> toRecord(each, nowMillis))
                        .toList()));
    }

    /**
     * What the next datagram is to tell.
     *
     * @return a few records, bounded in number; empty if there is nothing to tell.
     */
    public List<SuspectNews> nextUpdate() {
        if (table.isEmpty()) {
            return List.of();
        }
        long nowMillis = clockMillis.getAsLong();
        Map<Standing, List<SuspectRecord>> byStanding = table.snapshot().stream()
                .collect(Collectors.groupingBy(record -> table.standing(record.getFingerprint())));
        return byStanding.entrySet().stream()
                .flatMap(some -> sample(some.getValue(), RECORDS_PER_UPDATE.get(some.getKey())))
                .map(record -> toUpdate(record, nowMillis))
                .filter(update -> update.getRemainingMillis() > 0)
                .toList();
    }

    /**
     * Failure: there are more suspects than a datagram takes. Symptom: those beyond it stay known to one entry only, and
     * the request crashes targets through each of the others. A draw for each datagram reaches them all in a few, and
     * unlike turns it does not fall into step with who gets which datagram.
     */
    private Stream<SuspectRecord> sample(List<SuspectRecord> records, int maxRecords) {
        return records.stream()
                .map(record -> Map.entry(random.nextLong(), record))
                .sorted(Comparator.comparingLong(Map.Entry::getKey))
                .limit(maxRecords)
                .map(Map.Entry::getValue);
    }

    private static SuspectNews toUpdate(SuspectRecord record, long nowMillis) {
        return new SuspectNews(
                record.getFingerprint(),
                toNumbers(record.getCrashIds()),
                record.isSetAbsolvedIds() ? toNumbers(record.getAbsolvedIds()) : Set.of(),
                record.getExpiresAtEpochMillis() - nowMillis - HOP_DEDUCTION_MILLIS);
    }

    private static SuspectRecord toRecord(SuspectNews update, long nowMillis) {
        long remainingMillis = Math.min(update.getRemainingMillis(), RETENTION_MILLIS);
        return new SuspectRecord(
                        update.getFingerprint(), toNames(update.getCrashes()), nowMillis + remainingMillis, false)
                .setAbsolvedIds(toNames(update.getAbsolved()));
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
        long number = MurmurHash3.hash128x64(target.getBytes(StandardCharsets.UTF_8))[0];
        return Long.toUnsignedString(number, Character.MAX_RADIX);
    }

    /** Wall clocks step and differ; durations are told, so the table can keep to the steady clock throughout. */
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
