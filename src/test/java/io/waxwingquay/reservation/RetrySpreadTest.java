package io.waxwingquay.reservation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers of one engine that is asked for more than it can serve, in simulated time. */
class RetrySpreadTest {

    private static final int SLOTS = 24;
    private static final long STEP_MILLIS = 5;
    private static final long POLL_MILLIS = 25;
    private static final long END_MILLIS = 60_000;
    private static final long MAX_WAIT_MILLIS = 240;
    private static final double BURST_PER_STEP = 0.018;
    private static final int BURST_CALLERS = 5;
    private static final int MAX_REFUSALS = 6;
    private static final int MIN_REFUSED = 100;

    /** Times that are long enough would always find a slot, so the slots must be used about as well. */
    private static final double MIN_GRANTED_SHARE = 0.98;

    // Guards against refused callers that are refused again, as they return together or when there is no slot for them:
    // their share must be less than half of that with a delay of 400 to 600 ms that knows nothing of the engine.
    @ParameterizedTest
    @ValueSource(ints = {25, 320})
    void fewerCallersAreRefusedTwiceThanWithAFixedDelay(int entries) {
        Simulation told = new Simulation(entries, LongUnaryOperator.identity());
        SplittableRandom random = new SplittableRandom(11);
        Simulation fixed = new Simulation(entries, each -> 400 + random.nextInt(201));
        told.run();
        fixed.run();
        String result = "told " + told.describe() + ", fixed " + fixed.describe();
        assertTrue(told.shareRefusedTwice() < fixed.shareRefusedTwice() / 2, result);
        assertTrue(told.granted >= fixed.granted * MIN_GRANTED_SHARE, result);
    }

    private static final class Simulation {

        private final SplittableRandom arrivals;
        private final SplittableRandom runs;
        private final SlotBookFixture engine = new SlotBookFixture(SLOTS);
        private final PriorityQueue<Attempt> due = new PriorityQueue<>();
        private final Map<Long, Attempt> asking = new HashMap<>();
        private final Map<String, Long> endMillis = new HashMap<>();
        private final int entries;
        private final LongUnaryOperator delay;
        private long nextId;
        private int refusedOnce;
        private int refusedTwice;
        private int granted;
        private int callers;

        private Simulation(int entries, LongUnaryOperator delay) {
            this.entries = entries;
            this.arrivals = new SplittableRandom(entries);
            this.runs = arrivals.split();
            this.delay = delay;
        }

        private void run() {
            long startMillis = engine.nowMillis;
            while (engine.nowMillis < startMillis + END_MILLIS) {
                engine.nowMillis += STEP_MILLIS;
                if (arrivals.nextDouble() < BURST_PER_STEP) {
                    arrive();
                }
                while (!due.isEmpty() && due.peek().atMillis <= engine.nowMillis) {
                    ask(due.poll());
                }
                if (engine.nowMillis % POLL_MILLIS == 0) {
                    runAndReport();
                }
            }
            assertTrue(refusedOnce > MIN_REFUSED);
        }

        private double shareRefusedTwice() {
            return (double) refusedTwice / refusedOnce;
        }

        private String describe() {
            return "refused " + refusedOnce + ", twice " + refusedTwice + ", granted " + granted + " of " + callers;
        }

        private void arrive() {
            callers += BURST_CALLERS;
            for (int caller = 0; caller < BURST_CALLERS; caller++) {
                due.add(new Attempt(engine.nowMillis, engine.nowMillis, 0));
            }
        }

        private void ask(Attempt attempt) {
            long id = nextId++;
            asking.put(id, attempt);
            SlotRequest template = SlotBookFixture.request(
                    id, SlotBookFixture.LIVE, "", engine.nowMillis - attempt.firstMillis, MAX_WAIT_MILLIS);
            handle(engine.book.submit(from(new HostPort("10.0.1." + runs.nextInt(entries), 7382), template)));
        }

        private static SlotRequest from(HostPort entry, SlotRequest request) {
            return new SlotRequest(
                    new SlotRequest.Key(entry, request.key().id()),
                    request.attemptId(),
                    request.model(),
                    request.adapter(),
                    request.promptTokens(),
                    request.outputTokens(),
                    request.rank(),
                    request.account(),
                    request.accountWeight(),
                    request.ageMillis(),
                    request.maxWaitMillis(),
                    request.pauseObjectiveMillis());
        }

        private void handle(List<SlotAnswer> answers) {
            for (SlotAnswer answer : answers) {
                if (answer.decision() instanceof SlotDecision.Granted) {
                    asking.remove(answer.key().id());
                    granted++;
                    endMillis.put(answer.attemptId(), engine.nowMillis + 700 + runs.nextInt(1_200));
                } else if (answer.decision() instanceof SlotDecision.Denied denied) {
                    refuse(asking.remove(answer.key().id()), denied.retryAfterMillis());
                }
            }
        }

        private void refuse(Attempt attempt, long toldMillis) {
            refusedOnce += attempt.refusals == 0 ? 1 : 0;
            refusedTwice += attempt.refusals == 1 ? 1 : 0;
            if (attempt.refusals < MAX_REFUSALS) {
                due.add(new Attempt(
                        engine.nowMillis + delay.applyAsLong(toldMillis), attempt.firstMillis, attempt.refusals + 1));
            }
        }

        private void runAndReport() {
            endMillis.values().removeIf(end -> end <= engine.nowMillis);
            engine.running.clear();
            engine.running.addAll(endMillis.keySet());
            List<SlotAnswer> answers = new ArrayList<>(engine.report());
            answers.addAll(engine.book.advance());
            handle(answers);
        }
    }

    private record Attempt(long atMillis, long firstMillis, int refusals) implements Comparable<Attempt> {

        @Override
        public int compareTo(Attempt other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }
}
