package io.waxwingquay.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.common.Clock;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.membership.Membership;
import io.waxwingquay.membership.Side;
import io.waxwingquay.placement.DemandThresholds;
import io.waxwingquay.placement.PlacementStrategy;
import io.waxwingquay.side.WantedItems.Wanted;
import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SideState;
import io.waxwingquay.transport.generated.TargetKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class PlannedItemsTest {

    private static final long SETTLE_MILLIS = 5_000L;
    private static final String RESIDENT = "model:a@1";

    private final List<Side> sides = new ArrayList<>(List.of(side("s-0", Set.of(RESIDENT))));
    private final AtomicLong nowMillis = new AtomicLong(1_000L);
    private final PlannedItems items = new PlannedItems(
            "s-0",
            "s",
            new FakeMembership(),
            PlacementStrategy.named("planned", DemandThresholds.DEFAULT),
            new Clock() {
                @Override
                public long monotonicMillis() {
                    return nowMillis.get();
                }

                @Override
                public long epochMillis() {
                    return nowMillis.get();
                }
            },
            new PlannedItems.Timing(1_000L, SETTLE_MILLIS));

    // Guards against models that move and wait for memory for seconds after a restart of all sides: each side that
    // knows only itself would plan every model for itself, and most of the copies would then be evicted.
    @Test
    void keepsResidentItemsUntilMembershipSettles() {
        assertEquals(new Wanted(List.of(), Set.of(RESIDENT)), items.wanted(bundle()));
        sides.add(side("s-1", Set.of()));
        assertEquals(2, items.wanted(bundle()).items().size());
    }

    // Guards against a side that waits forever, so that requests for its models are refused, while the other sides and
    // the platform are dead or unreachable.
    @Test
    void plansAloneAfterSettleTimeout() {
        nowMillis.addAndGet(SETTLE_MILLIS);
        assertEquals(2, items.wanted(bundle()).items().size());
        sides.clear();
        assertEquals(2, items.wanted(bundle()).items().size());
    }

    private static Bundle bundle() {
        return new Bundle(
                1L,
                new Bundle.Keys(List.of(), List.of()),
                List.of(new Bundle.Service("s", Bundle.Kind.MODEL, 2, 100L, 1, true, 2, 1.0, 2, 4)),
                List.of(new Bundle.Model("a", "s", "1", 50L, 1), new Bundle.Model("b", "s", "1", 50L, 1)),
                List.of(),
                List.of());
    }

    private static Side side(String id, Set<String> resident) {
        return new Side(
                id,
                new HostPort("127.0.0.1", 1),
                "dc-" + id,
                "s",
                0,
                TargetKind.MODEL_ENGINE,
                1L,
                1L,
                SideState.SERVING,
                id.equals("s-0") ? 100L : 50L,
                resident,
                Map.of(),
                true);
    }

    private final class FakeMembership implements Membership {

        @Override
        public List<Side> sides() {
            return List.copyOf(sides);
        }

        @Override
        public Optional<Side> side(String sideId) {
            return sides.stream().filter(side -> side.id().equals(sideId)).findFirst();
        }

        @Override
        public void publish(SideRecord record) {}

        @Override
        public void noteLeaving(String sideId, long epoch) {}

        @Override
        public void noteReached(String sideId, long epoch, boolean reached) {}
    }
}
