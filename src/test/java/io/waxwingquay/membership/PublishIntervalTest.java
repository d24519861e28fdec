package io.waxwingquay.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.transport.generated.SideRecord;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class PublishIntervalTest {

    private static final double BUDGET_BYTES_PER_SECOND = 3_000;
    private static final int COPIES = 5;

    // Guards the gossip budget of a process when every side publishes as often as it may: 2,400 sides that each
    // published every 5 s would send about 600 KB/s to every process, sixty times what a node may use.
    @Property(tries = 100, seed = "20261202")
    void allSidesTogetherStayWithinTheBudget(@ForAll @IntRange(min = 1, max = 5_000) int sides) {
        SideRecord record = GossipSimulation.record(1);
        long waitMillis = PublishInterval.minMillis(sides, record, BUDGET_BYTES_PER_SECOND);
        double bytesPerSecond = 1_000.0 * sides * Records.sizeBytes(record) * COPIES / waitMillis;
        assertTrue(bytesPerSecond <= BUDGET_BYTES_PER_SECOND);
    }
}
