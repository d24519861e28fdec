package io.waxwingquay.process;

import io.waxwingquay.bundle.BundleChart;
import io.waxwingquay.chart.StateChart;
import io.waxwingquay.claim.ClaimRecord;
import io.waxwingquay.entry.AttemptPhase;
import io.waxwingquay.forward.ExchangeState;
import io.waxwingquay.ledger.MemoryLedger;
import io.waxwingquay.residency.MoveState;
import io.waxwingquay.side.RequestState;
import io.waxwingquay.side.SideEvent;
import io.waxwingquay.transport.generated.SideState;

/**
 * The state charts that this program interprets.
 */
public final class ShippedCharts {

    private ShippedCharts() {}

    /**
     * Loads and validates all charts before the process starts, because a chart that lacks a transition would fail the
     * first request that needs it, long after the start.
     *
     * @throws io.waxwingquay.chart.ChartException.Malformed if a chart is missing or malformed.
     */
    public static void validateAll() {
        StateChart.load(AttemptPhase.CHART_NAME, AttemptPhase.class, AttemptPhase.Event.class);
        StateChart.load(RequestState.CHART_NAME, RequestState.class, RequestState.Event.class);
        StateChart.load(MemoryLedger.CHART_NAME, MemoryLedger.State.class, MemoryLedger.Event.class);
        StateChart.load(SideEvent.CHART_NAME, SideState.class, SideEvent.class);
        StateChart.load(ClaimRecord.CHART_NAME, ClaimRecord.State.class, ClaimRecord.Event.class);
        StateChart.load(ExchangeState.CHART_NAME, ExchangeState.class, ExchangeState.Event.class);
        StateChart.load(MoveState.CHART_NAME, MoveState.class, MoveState.Event.class);
        StateChart.load(BundleChart.CHART_NAME, BundleChart.State.class, BundleChart.Event.class);
    }
}
