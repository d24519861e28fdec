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

    // A request ends one replica through each of two entries. Neither has seen two crashes; only together they
    // know, and a third entry that has seen none has to know too.
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

    // Two entries lose requests that look alike to the same crash. It is one crash, and condemns nothing.
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

    // Many callers send requests that are alike, and two of them are at crashes that another request caused. Those
    // that ran elsewhere are answered. Were the others refused all the same, a busy page would be gone for ten
    // minutes.
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

    // Datagrams come doubled, late and in any order; what is known in the end is the same.
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

    // An entry starts anew while it is the only one that saw the crashes. The processes beside engines know still.
    @Test
    void restartedEntryRelearnsSuspectsFromPeers() {
        entry1.recordCrash("a", POISON);
        entry1.recordCrash("b", POISON);
        side.merge(entry1.nextUpdate());
        SharedSuspects restarted = suspects();
        restarted.merge(side.nextUpdate());
        assertEquals(Standing.QUARANTINED, restarted.standing(POISON));
    }

    // Two processes tell each other of a suspect over and over, each datagram 400 ms under way. A record does not
    // age on its way; if each telling made it younger, an innocent one would never go free.
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

    // A busy replica goes and takes hundreds of requests with it, and one of them is what ended it. Each datagram
    // takes a few; the one that counts has to be among them soon.
    @Test
    void everySuspectIsSentWithinAHundredUpdates() {
        for (long fingerprint = 0; fingerprint < 100; fingerprint++) {
            entry1.recordCrash("a", fingerprint);
        }
        for (int number = 0; number < 100; number++) {
            side.merge(entry1.nextUpdate());
        }
        long known = side.countSuspected();
        assertTrue(known >= 99, "heard of " + known);
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
                entry1.nextUpdate().size() <= 16, "told " + entry1.nextUpdate().size());
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
