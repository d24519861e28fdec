package io.waxwingquay.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.Clock;
import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SideState;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class MemberTableTest {

    private static final String NAME = GossipSimulation.name(1);
    private static final long EXPIRY_MILLIS = MemberTable.Timing.DEFAULT.expiryMillis();

    private long nowMillis = 1_000;
    private final MemberTable table = newTable();

    @Test
    void leavingIsNotRevertedByOlderOrNewerRecordOfSameEpoch() {
        // A side is leaving. A peer that does not know it yet gossips the side's previous record, and the side, which
        // learns of it late, publishes its residency once more. If either won, the draining side would get new work.
        table.publish(record(1, 5, SideState.SERVING));
        table.noteLeaving(NAME, 1);
        table.merge(List.of(record(1, 4, SideState.SERVING), record(1, 6, SideState.SERVING)));
        assertEquals(SideState.LEAVING, state());
        assertFalse(table.side(NAME).orElseThrow().acceptsWork());
    }

    // A restarted side must get work although its previous epoch was leaving, and stale records must not revert that.
    @Test
    void higherEpochReplacesRecordAndLowerEpochIsIgnored() {
        table.publish(record(1, 5, SideState.LEAVING));
        table.merge(List.of(record(2, 1, SideState.SERVING)));
        table.merge(List.of(record(1, 9, SideState.LEAVING)));
        table.noteLeaving(NAME, 1);
        assertEquals(SideState.SERVING, state());
    }

    // The list lags, and a broken link looks like a dead side: either sign alone would remove sides that are alive.
    @Test
    void unlistedAloneOrUnresponsiveAloneDoesNotExpire() {
        table.publish(record(1, 1, SideState.SERVING));
        table.noteListed(Set.of());
        nowMillis += 2 * EXPIRY_MILLIS;
        assertEquals(List.of(), table.expire());
        table.noteListed(Set.of(NAME));
        table.noteReached(NAME, 1, false);
        nowMillis += 2 * EXPIRY_MILLIS;
        assertEquals(List.of(), table.expire());
        assertFalse(table.side(NAME).orElseThrow().acceptsWork());
    }

    // A dead side must leave the membership, and a peer's stale record must not bring it back.
    @Test
    void unlistedAndUnresponsiveSideExpiresAndStaleRecordDoesNotReviveIt() {
        table.publish(record(1, 1, SideState.SERVING));
        table.noteListed(Set.of());
        nowMillis += EXPIRY_MILLIS;
        table.noteReached(NAME, 1, false);
        assertEquals(List.of(), table.expire());
        nowMillis += EXPIRY_MILLIS;
        assertEquals(List.of(NAME), table.expire());
        table.merge(List.of(record(1, 1, SideState.SERVING)));
        assertTrue(table.side(NAME).isEmpty());
        table.merge(List.of(record(1, 2, SideState.SERVING)));
        assertEquals(SideState.SERVING, state());
    }

    @Test
    void leavingSideThatExpiredReturnsAsLeaving() {
        // A leaving side is partitioned while it drains, and expires to GONE. After the partition its last publication
        // arrives, made before it learnt that it is leaving. The side is alive but must not get new work.
        table.publish(record(1, 1, SideState.SERVING));
        table.noteLeaving(NAME, 1);
        table.noteListed(Set.of());
        table.noteReached(NAME, 1, false);
        nowMillis += EXPIRY_MILLIS;
        assertEquals(List.of(NAME), table.expire());
        table.merge(List.of(record(1, 2, SideState.SERVING)));
        assertEquals(SideState.LEAVING, state());
    }

    @Test
    void unavailableListResetsUnlistedTime() {
        // A VM is missing from one stale list, then the table service is unavailable for long while the side is
        // unresponsive behind a broken link. If time without a list counted as unlisted, a side that still serves
        // others would expire.
        table.publish(record(1, 1, SideState.SERVING));
        table.noteListed(Set.of());
        table.noteReached(NAME, 1, false);
        table.noteListUnavailable();
        nowMillis += 10 * EXPIRY_MILLIS;
        assertEquals(List.of(), table.expire());
    }

    // Without probes an unresponsive side would never get work again; too many would load the network.
    @Test
    void unresponsiveSideIsDueForProbeOncePerInterval() {
        table.publish(record(1, 1, SideState.SERVING));
        table.noteReached(NAME, 1, false);
        assertEquals(0, table.dueForProbe().size());
        nowMillis += MemberTable.Timing.DEFAULT.probeIntervalMillis();
        assertEquals(1, table.dueForProbe().size());
        assertEquals(0, table.dueForProbe().size());
        table.noteReached(NAME, 1, true);
        assertTrue(table.side(NAME).orElseThrow().acceptsWork());
    }

    // Routing needs a name and an address, which a malformed record or a digest lacks.
    @Test
    void recordWithoutNameOrAddressIsIgnored() {
        table.merge(List.of(new SideRecord(), GossipHandler.digestOf(record(1, 1, SideState.SERVING))));
        assertEquals(0, table.size());
    }

    // If the result depended on the order of arrival, processes would keep different views permanently.
    @Property(tries = 300, seed = "20261202")
    void recordsOfLiveSidesMergeEquallyInAnyOrder(@ForAll("records") List<SideRecord> records, @ForAll long seed) {
        MemberTable once = newTable();
        MemberTable other = newTable();
        List<SideRecord> shuffled = new ArrayList<>(records);
        shuffled.addAll(records);
        Collections.shuffle(shuffled, new Random(seed));
        once.merge(records);
        shuffled.forEach(record -> other.merge(List.of(record)));
        assertEquals(once.combinedHash(), other.combinedHash());
        assertEquals(once.sides(), other.sides());
    }

    @Provide
    Arbitrary<List<SideRecord>> records() {
        return Combinators.combine(
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.of(SideState.STARTING, SideState.SERVING, SideState.LEAVING))
                .as(MemberTableTest::record)
                .list()
                .ofMaxSize(8);
    }

    private SideState state() {
        return table.side(NAME).orElseThrow().state();
    }

    private static SideRecord record(long epoch, long version, SideState state) {
        return GossipSimulation.record(1).setEpoch(epoch).setVersion(version).setState(state);
    }

    private MemberTable newTable() {
        return new MemberTable(
                new Clock() {
                    @Override
                    public long monotonicMillis() {
                        return nowMillis;
                    }

                    @Override
                    public long epochMillis() {
                        return nowMillis;
                    }
                },
                MemberTable.Timing.DEFAULT);
    }
}
