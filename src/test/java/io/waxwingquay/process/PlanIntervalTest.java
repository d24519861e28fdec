package io.waxwingquay.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.common.Clock;
import io.waxwingquay.membership.MemberTable;
import io.waxwingquay.placement.Plan;
import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SideState;
import io.waxwingquay.transport.generated.TargetKind;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PlanIntervalTest {

    private static final Bundle BUNDLE =
            new Bundle(1, new Bundle.Keys(List.of(), List.of()), List.of(), List.of(), List.of(), List.of());

    private long nowMillis = 1_000;
    private int plans;
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

    // Guards against plans that are as frequent for many sides as for few: a plan over 2,400 sides takes 0.2 s of
    // processor time, so that one a second took a fifth of a core from each target's VM.
    @Test
    void planIntervalGrowsWithNumberOfSides() {
        assertEquals(61, plansPerMinute(13));
        assertEquals(3, plansPerMinute(2_400));
    }

    private int plansPerMinute(int sides) {
        plans = 0;
        PlannedItems items = new PlannedItems(
                "s-0",
                "models",
                members(sides),
                view -> {
                    plans++;
                    return Plan.EMPTY;
                },
                clock,
                new PlannedItems.Timing(1_000, 0));
        for (int tick = 0; tick <= 600; tick++) {
            items.wanted(BUNDLE);
            nowMillis += 100;
        }
        return plans;
    }

    private MemberTable members(int sides) {
        MemberTable members = new MemberTable(clock, MemberTable.Timing.DEFAULT);
        members.merge(IntStream.range(0, sides)
                .mapToObj(index -> new SideRecord(
                        "s-" + index,
                        "127.0.0.1",
                        20_000 + index,
                        "dc-1",
                        "models",
                        index,
                        TargetKind.MODEL_ENGINE,
                        1,
                        1,
                        SideState.SERVING,
                        1L << 30,
                        List.of()))
                .toList());
        return members;
    }
}
