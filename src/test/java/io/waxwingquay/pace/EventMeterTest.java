package io.waxwingquay.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.fleet.RunningRequest;
import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class EventMeterTest {

    private final EventMeter meter = new EventMeter();

    @Test
    void measuresEventsOfSeveralReports() {
        EventSample sample = measure(now -> streams(4, now)).orElseThrow();
        assertEquals(50, sample.eventMillis(), 5);
        assertEquals(4, sample.batch());
        assertEquals(100, sample.promptTokens(), 10);
    }

    // Guards against a preempted stream, a new one and one without events that make the engine look slow.
    @Test
    void preemptedAndNewStreamsAreLeftOut() {
        EventSample sample = measure(now -> Stream.concat(
                                streams(4, now).stream(),
                                Stream.of(
                                        run("preempted", now < 100 ? 3 : 4),
                                        run("fallen", now < 100 ? 30 : 1),
                                        run("waiting", 0),
                                        run(now < 200 ? "gone" : "new", 1)))
                        .toList())
                .orElseThrow();
        assertEquals(50, sample.eventMillis(), 5);
    }

    // Guards against a report from before a freeze that is taken for a fresh one.
    @Test
    void spanOverAGapIsDiscarded() {
        meter.observe(streams(4, 0), 0, 0);
        assertEquals(Optional.empty(), meter.observe(streams(4, 25), 0, 5_000));
        assertEquals(Optional.empty(), meter.observe(streams(4, 5_025), 0, 5_025));
        assertEquals(Optional.empty(), meter.observe(streams(4, 5_050), 0, 5_050));
    }

    // Guards against samples without any stream, from repeated reports, or from a clock that goes back.
    @Test
    void emptyRepeatedAndReversedReportsGiveNoSample() {
        assertTrue(measure(now -> List.of()).isEmpty());
        assertTrue(measure(now -> streams(4, 0)).isEmpty());
        assertTrue(LongStream.range(0, 80)
                .mapToObj(number -> meter.observe(streams(4, number * 25), 0, 2_000 - number * 25))
                .allMatch(Optional::isEmpty));
    }

    private Optional<EventSample> measure(LongFunction<List<RunningRequest>> reportAt) {
        return LongStream.rangeClosed(0, 24)
                .map(number -> number * 25)
                .mapToObj(now -> meter.observe(reportAt.apply(now), 2.0 * now, now))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /** Streams out of phase, with an event every 50 ms. */
    private static List<RunningRequest> streams(int number, long nowMillis) {
        return IntStream.range(0, number)
                .mapToObj(stream -> run("s" + stream, 1 + (nowMillis + stream * 50 / number) / 50))
                .toList();
    }

    private static RunningRequest run(String id, long events) {
        return new RunningRequest(id, 100, events, 1);
    }
}
