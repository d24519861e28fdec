package io.waxwingquay.suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.suspect.SuspectRegistry.Standing;
import io.waxwingquay.transport.generated.EntryNews;
import io.waxwingquay.transport.generated.SuspectNews;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.junit.jupiter.api.Test;

class SharedSuspectsTest {

    private static final long POISON = 7;
    private static final long RETENTION_MILLIS = 600_000;

    private long nowMillis = 1_000;
    private final Random random = new Random(11);
    private final SharedSuspects entry1 = suspects();
    private final SharedSuspects entry2 = suspects();
    private final SharedSuspects side = suspects();

    /**
     * Guards against entries that count only their own crashes. A request crashes one replica through each of two
     * entries; only together do they know of two, and a third entry that saw none must learn of both.
     */
    @Test
    void crashesSeenByDifferentEntriesAddUp() {
        entry1.recordCrash("a", POISON);
        entry2.recordCrash("b", POISON);
        assertEquals(Standing.SUSPECT, entry1.standing(POISON));
        side.merge(entry1.nextUpdate());
        side.merge(entry2.nextUpdate());
        SharedSuspects entry3 = suspects();
        List.of(entry1, entry2, entry3).forEach(entry -> entry.merge(side.nextUpdate()));
        List.of(entry1, entry2, entry3).forEach(entry -> assertEquals(Standing.QUARANTINED, entry.standing(POISON)));
    }

    /** Guards against counting one crash twice when two entries lose equal requests to it. */
    @Test
    void crashSeenByTwoEntriesCountsOnce() {
        entry1.recordCrash("a", POISON);
        entry2.recordCrash("a", POISON);
        entry1.merge(entry2.nextUpdate());
        assertEquals(Standing.SUSPECT, entry1.standing(POISON));
    }

    @Test
    void successClearsEarlierCrashes() {
        entry1.recordCrash("a", POISON);
        entry1.recordSuccess(POISON);
        assertEquals(Standing.CLEAR, entry1.standing(POISON));
        entry1.recordCrash("b", POISON);
        assertEquals(Standing.SUSPECT, entry1.standing(POISON));
    }

    /**
     * Guards against refusing a popular page for ten minutes. Two of many equal requests are running at crashes that
     * another request caused, while those on other targets are answered.
     */
    @Test
    void successLiftsQuarantineInEveryProcess() {
        entry1.recordCrash("a", POISON);
        entry1.recordCrash("b", POISON);
        entry2.merge(entry1.nextUpdate());
        assertEquals(Standing.QUARANTINED, entry2.standing(POISON));
        entry1.recordSuccess(POISON);
        entry2.merge(entry1.nextUpdate());
        assertEquals(Standing.CLEAR, entry2.standing(POISON));
    }

    @Test
    void retractedCrashNoLongerCounts() {
        entry1.recordCrash("a", POISON);
        entry1.recordCrash("b", POISON);
        entry1.retractCrash("a", POISON);
        assertEquals(Standing.SUSPECT, entry1.standing(POISON));
    }

    /**
     * Guards against state that depends on how updates arrive: repeated, late and reordered updates must give the same
     * result.
     */
    @Test
    void updatesMayArriveRepeatedAndInAnyOrder() {
        List<List<SuspectNews>> sent = new ArrayList<>();
        entry1.recordCrash("a", POISON);
        sent.add(entry1.nextUpdate());
        entry1.recordSuccess(POISON);
        sent.add(entry1.nextUpdate());
        entry1.recordCrash("b", POISON);
        sent.add(entry1.nextUpdate());
        for (int round = 0; round < 20; round++) {
            SharedSuspects other = suspects();
            for (int number = 0; number < 8; number++) {
                other.merge(sent.get(random.nextInt(sent.size())));
            }
            sent.forEach(other::merge);
            assertEquals(Standing.SUSPECT, other.standing(POISON));
        }
    }

    @Test
    void laterUpdateReplacesLostOnes() {
        entry1.recordCrash("a", POISON);
        entry1.recordCrash("b", POISON);
        entry1.nextUpdate();
        entry1.nextUpdate();
        side.merge(entry1.nextUpdate());
        assertEquals(Standing.QUARANTINED, side.standing(POISON));
    }

    /**
     * Guards against losing suspects when the only entry that saw the crashes restarts: the side processes still know
     * them.
     */
    @Test
    void restartedEntryRelearnsSuspectsFromPeers() {
        entry1.recordCrash("a", POISON);
        entry1.recordCrash("b", POISON);
        side.merge(entry1.nextUpdate());
        SharedSuspects restarted = suspects();
        restarted.merge(side.nextUpdate());
        assertEquals(Standing.QUARANTINED, restarted.standing(POISON));
    }

    /**
     * Guards against records that never expire. Two processes exchange a suspect continuously, each update 400 ms in
     * transit, in which a record does not age.
     */
    @Test
    void suspectExchangedBackAndForthStillExpires() {
        entry1.recordCrash("a", POISON);
        entry1.recordCrash("b", POISON);
        long endMillis = nowMillis + RETENTION_MILLIS;
        while (nowMillis < endMillis) {
            List<SuspectNews> there = entry1.nextUpdate();
            List<SuspectNews> back = side.nextUpdate();
            nowMillis += 400;
            side.merge(there);
            entry1.merge(back);
        }
        assertEquals(Standing.CLEAR, entry1.standing(POISON));
        assertEquals(Standing.CLEAR, side.standing(POISON));
        assertEquals(List.of(), side.nextUpdate());
        assertTrue(side.isEmpty());
    }

    @Test
    void forwardedRecordDoesNotOutliveItsRetention() {
        entry1.recordCrash("a", POISON);
        nowMillis += RETENTION_MILLIS - 5_000;
        side.merge(entry1.nextUpdate());
        nowMillis += 5_000;
        assertEquals(Standing.CLEAR, side.standing(POISON));
    }

    /**
     * Guards against crash causes that spread too late. A busy replica crashes with hundreds of running requests, one
     * of which is the cause; an update carries only a few records.
     */
    @Test
    void everySuspectIsSentWithinAHundredUpdates() {
        for (long fingerprint = 0; fingerprint < 100; fingerprint++) {
            entry1.recordCrash("a", fingerprint);
        }
        for (int number = 0; number < 100; number++) {
            side.merge(entry1.nextUpdate());
        }
        long known = side.countSuspected();
        assertTrue(known >= 99, "known suspects " + known);
    }

    @Test
    void quarantinedRequestsAreSentDespiteManySuspects() {
        for (long fingerprint = 100; fingerprint < 400; fingerprint++) {
            entry1.recordCrash("a", fingerprint);
        }
        entry1.recordCrash("a", POISON);
        entry1.recordCrash("b", POISON);
        side.merge(entry1.nextUpdate());
        assertEquals(Standing.QUARANTINED, side.standing(POISON));
    }

    @Test
    void recordsAndUpdateSizeAreBounded() throws Exception {
        for (long fingerprint = 0; fingerprint < 3_000; fingerprint++) {
            entry1.recordCrash("a", random.nextLong());
            long twiceCrashed = random.nextLong();
            entry1.recordCrash("a", twiceCrashed);
            entry1.recordCrash("b", twiceCrashed);
        }
        assertTrue(entry1.countSuspected() <= 512, "records " + entry1.countSuspected());
        assertTrue(
                entry1.nextUpdate().size() <= 16,
                "records in the update " + entry1.nextUpdate().size());
        byte[] encoded = new TSerializer(new TCompactProtocol.Factory())
                .serialize(new EntryNews().setNode("n").setNumber(1).setSuspects(entry1.nextUpdate()));
        assertTrue(encoded.length < 700, "bytes " + encoded.length);
    }

    @Test
    void oversizedOrEmptyUpdateIsMergedWithinBounds() {
        side.merge(null);
        List<SuspectNews> many = new ArrayList<>();
        for (long fingerprint = 0; fingerprint < 5_000; fingerprint++) {
            many.add(new SuspectNews(fingerprint, Set.of(1L, 2L), Set.of(), Long.MAX_VALUE));
        }
        side.merge(many);
        assertTrue(side.countSuspected() <= 64, "records " + side.countSuspected());
        side.merge(List.of(new SuspectNews().setFingerprint(POISON)));
        nowMillis += RETENTION_MILLIS;
        assertEquals(0, side.countSuspected());
    }

    private SharedSuspects suspects() {
        return new SharedSuspects(() -> nowMillis, random);
    }
}
