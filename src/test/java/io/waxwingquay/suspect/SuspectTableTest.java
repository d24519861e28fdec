package io.waxwingquay.suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.waxwingquay.common.Clock;
import io.waxwingquay.suspect.SuspectRegistry.Standing;
import io.waxwingquay.transport.generated.SuspectRecord;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class SuspectTableTest {

    private static final long RETENTION_MILLIS = 60_000;
    private static final long POISON = 7;

    private long nowMillis = 1_000;
    private final Clock clock = new Clock() {
        @Override
        public long monotonicMillis() {
            return nowMillis;
        }

        @Override
        public long epochMillis() {
            return nowMillis;
        }
    };
    private final SuspectTable table = table(100);

    /**
     * Guards against a request that crashes a third target. It crashes one target, completes on another by chance and
     * is cleared, then crashes a second target through another entry; the clearing must not count any more.
     */
    @Test
    void secondCrashQuarantinesEvenAfterClearing() {
        table.recordCrash("crash-1", List.of(POISON));
        assertEquals(Standing.SUSPECT, table.standing(POISON));
        table.clear(POISON);
        assertEquals(Standing.CLEAR, table.standing(POISON));
        table.recordCrash("crash-2", List.of(POISON));
        table.clear(POISON);
        assertEquals(Standing.QUARANTINED, table.standing(POISON));
    }

    @Test
    void repeatedCrashCountsOnce() {
        List<SuspectRecord> records = table.recordCrash("crash-1", List.of(POISON));
        table.merge(records);
        table.recordCrash("crash-1", List.of(POISON));
        assertEquals(Standing.SUSPECT, table.standing(POISON));
    }

    @Test
    void recordExpiresAfterRetention() {
        table.recordCrash("crash-1", List.of(POISON));
        table.recordCrash("crash-2", List.of(POISON));
        nowMillis += RETENTION_MILLIS;
        assertEquals(Standing.CLEAR, table.standing(POISON));
        assertEquals(List.of(), table.snapshot());
    }

    @Test
    void fullTableKeepsQuarantinedRecords() {
        SuspectTable small = table(2);
        small.recordCrash("crash-1", List.of(POISON));
        small.recordCrash("crash-2", List.of(POISON, 8L, 9L, 10L));
        assertEquals(Standing.QUARANTINED, small.standing(POISON));
        assertEquals(2, small.snapshot().size());
    }

    @Test
    void fingerprintSeparatesParts() {
        assertEquals(Fingerprint.of("m", null, "p"), Fingerprint.of("m", null, "p"));
        assertNotEquals(Fingerprint.of("m", "ap", ""), Fingerprint.of("m", "a", "p"));
        assertNotEquals(Fingerprint.of("ma", null, "p"), Fingerprint.of("m", "a", "p"));
    }

    @Property(tries = 200, seed = "20261202")
    void mergeIsCommutativeAndIdempotent(@ForAll("records") List<SuspectRecord> records, @ForAll long seed) {
        SuspectTable once = table(100);
        once.merge(records);
        List<SuspectRecord> shuffled = new ArrayList<>(records);
        shuffled.addAll(records);
        Collections.shuffle(shuffled, new Random(seed));
        SuspectTable repeated = table(100);
        shuffled.forEach(record -> repeated.merge(List.of(record)));
        assertEquals(new HashSet<>(once.snapshot()), new HashSet<>(repeated.snapshot()));
    }

    @Property(tries = 200, seed = "20261203")
    void mergeOfAbsolvedCrashesIsCommutativeAndIdempotent(
            @ForAll("absolvedRecords") List<SuspectRecord> records, @ForAll long seed) {
        SuspectTable once = SuspectTable.trustingAnswers(clock, RETENTION_MILLIS, 100);
        once.merge(records);
        List<SuspectRecord> shuffled = new ArrayList<>(records);
        shuffled.addAll(records);
        Collections.shuffle(shuffled, new Random(seed));
        SuspectTable repeated = SuspectTable.trustingAnswers(clock, RETENTION_MILLIS, 100);
        shuffled.forEach(record -> repeated.merge(List.of(record)));
        assertEquals(new HashSet<>(once.snapshot()), new HashSet<>(repeated.snapshot()));
        LongStream.rangeClosed(1, 3).forEach(each -> assertEquals(once.standing(each), repeated.standing(each)));
    }

    /**
     * Guards against refusing a popular page that was running at two crashes that it did not cause and was answered
     * afterwards. Where answers are trusted, only two further crashes quarantine it again.
     */
    @Test
    void successAbsolvesEarlierCrashesWhenAnswersAreTrusted() {
        SuspectTable trusting = SuspectTable.trustingAnswers(clock, RETENTION_MILLIS, 100);
        trusting.recordCrash("crash-1", List.of(POISON));
        trusting.recordCrash("crash-2", List.of(POISON));
        assertEquals(Standing.QUARANTINED, trusting.standing(POISON));
        trusting.clear(POISON);
        assertEquals(Standing.CLEAR, trusting.standing(POISON));
        trusting.recordCrash("crash-3", List.of(POISON));
        assertEquals(Standing.SUSPECT, trusting.standing(POISON));
        trusting.recordCrash("crash-4", List.of(POISON));
        assertEquals(Standing.QUARANTINED, trusting.standing(POISON));
    }

    @Test
    void absolvingOneCrashKeepsTheOther() {
        SuspectTable trusting = SuspectTable.trustingAnswers(clock, RETENTION_MILLIS, 100);
        trusting.recordCrash("crash-1", List.of(POISON));
        trusting.recordCrash("crash-2", List.of(POISON));
        trusting.absolve("crash-1", POISON);
        assertEquals(Standing.SUSPECT, trusting.standing(POISON));
    }

    @Provide
    Arbitrary<List<SuspectRecord>> absolvedRecords() {
        Arbitrary<Set<String>> absolved = Arbitraries.of("a", "b", "c").set().map(TreeSet::new);
        return records().flatMap(some -> absolved.list().ofSize(some.size()).map(sets -> IntStream.range(0, some.size())
                .mapToObj(at -> some.get(at).deepCopy().setAbsolvedIds(sets.get(at)))
                .toList()));
    }

    @Provide
    Arbitrary<List<SuspectRecord>> records() {
        Arbitrary<Set<String>> crashIds =
                Arbitraries.of("a", "b", "c").set().ofMinSize(1).map(TreeSet::new);
        return Combinators.combine(
                        Arbitraries.longs().between(1, 3),
                        crashIds,
                        Arbitraries.longs().between(500, 50_000),
                        Arbitraries.of(true, false))
                .as(SuspectRecord::new)
                .list()
                .ofMaxSize(8);
    }

    private SuspectTable table(int maxRecords) {
        return new SuspectTable(clock, RETENTION_MILLIS, maxRecords);
    }
}
