package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.waxwingquay.chart.ChartException;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ExchangeStateTest {

    // A request waits for an adapter, is told no, and waits for another engine's. With the second wait illegal it
    // stayed
    // for good, and the look at the time stopped there for every request behind it.
    @Test
    void waitingRequestMayWaitAgain() {
        assertEquals(Optional.of(ExchangeState.AWAITING), next(ExchangeState.AWAITING, ExchangeState.Event.AWAIT));
    }

    // The caller has a part of a stream. From then on only the rest may follow, never a new beginning.
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
