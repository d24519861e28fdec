package io.waxwingquay.chart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StateChartTest {

    private static final String DOOR =
            """
            initial OPEN
            final SHUT
            OPEN --PUSH--> AJAR
            AJAR --PUSH--> SHUT
            ignore OPEN KNOCK
            illegal AJAR KNOCK
            """;

    @Test
    void interpretsTransitionsIgnoredAndIllegalEvents() {
        StateChart<Door, Hand> chart = StateChart.parse("door", DOOR, Door.class, Hand.class);
        assertEquals(Door.OPEN, chart.initial());
        assertEquals(Optional.of(Door.AJAR), chart.next(Door.OPEN, Hand.PUSH));
        assertEquals(Optional.empty(), chart.next(Door.OPEN, Hand.KNOCK));
        assertThrows(ChartException.IllegalEvent.class, () -> chart.next(Door.AJAR, Hand.KNOCK));
        assertTrue(chart.isFinal(Door.SHUT));
    }

    // An undeclared event or an unreachable state must show at the start, not when the event first occurs.
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "AJAR --PUSH--> SHUT;illegal AJAR PUSH;state SHUT is unreachable",
                "final SHUT;final OPEN;state SHUT has no way to a final state",
                "ignore OPEN KNOCK;# nothing;event KNOCK is missing in state OPEN",
                "illegal AJAR KNOCK;illegal AJAR KICK;'KICK' is no event of Hand",
                "OPEN --PUSH--> AJAR;OPEN --PUSH--> LOST;'LOST' is no state of Door",
                "ignore OPEN KNOCK;ignore OPEN KNOCK PUSH;event PUSH in state OPEN stands twice",
                "initial OPEN;# nothing;no initial state",
                "illegal AJAR KNOCK;forbid AJAR KNOCK;is not a line of a chart"
            })
    void rejectsMalformedCharts(String good, String bad, String expected) {
        String text = DOOR.replace(good, bad);
        ChartException failure = assertThrows(
                ChartException.Malformed.class, () -> StateChart.parse("door", text, Door.class, Hand.class));
        assertTrue(failure.getMessage().contains(expected), failure.getMessage());
    }

    private enum Door {
        OPEN,
        AJAR,
        SHUT
    }

    private enum Hand {
        PUSH,
        KNOCK
    }
}
