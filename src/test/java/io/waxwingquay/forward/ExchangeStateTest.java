package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.waxwingquay.chart.ChartException;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ExchangeStateTest {

    // Guards against a request that never ends: it waits for an adapter, is told that it is absent, and waits for that
    // of another engine. If the second wait were illegal, it would stay for good, and deadlines would no longer be
    // checked for any request after it.
    @Test
    void waitingRequestMayWaitAgain() {
        assertEquals(Optional.of(ExchangeState.AWAITING), next(ExchangeState.AWAITING, ExchangeState.Event.AWAIT));
    }

    // Guards against a second beginning of a stream of which the caller has received a part; only the rest may follow.
    @Test
    void streamNeverBeginsTwice() {
        assertEquals(Optional.of(ExchangeState.RESUMING), next(ExchangeState.STREAMING, ExchangeState.Event.RETRY));
        assertEquals(Optional.of(ExchangeState.STREAMING), next(ExchangeState.RESUMING, ExchangeState.Event.SEND));
        assertThrows(ChartException.IllegalEvent.class, () -> next(ExchangeState.STREAMING, ExchangeState.Event.BEGIN));
    }

    @Test
    void endedRequestIsNotSent() {
        assertThrows(ChartException.IllegalEvent.class, () -> next(ExchangeState.DONE, ExchangeState.Event.SEND));
        assertEquals(Optional.empty(), next(ExchangeState.DONE, ExchangeState.Event.END));
    }

    private static Optional<ExchangeState> next(ExchangeState state, ExchangeState.Event event) {
        return ExchangeState.CHART.next(state, event);
    }
}
