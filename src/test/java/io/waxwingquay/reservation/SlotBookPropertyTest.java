package io.waxwingquay.reservation;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Random interleavings of requests, repeats, cancellations, reports and time against one book. */
class SlotBookPropertyTest {

    private static final int SLOTS = 6;
    private static final int STEPS = 400;
    private static final int MAX_RUN_STEPS = 40;
    private static final List<Rank> RANKS =
            List.of(SlotBookFixture.URGENT, SlotBookFixture.LIVE, SlotBookFixture.RELAXED);
    private static final List<String> ACCOUNTS = List.of("", "a", "b", "c");

    // Guards against more grants than slots, a slot for a cancelled or denied request, and a request with two different
    // final answers.
    @Property(tries = 200, seed = "4711")
    void everyRequestHasOneFinalAnswerAndSlotsAreNeverExceeded(@ForAll long seed) {
        Run run = new Run(new Random(seed));
        for (int step = 0; step < STEPS; step++) {
            run.step();
        }
    }

    private static final class Run {

        private final Random random;
        private final SlotBookFixture engine = new SlotBookFixture(SLOTS);
        private final List<SlotRequest> requests = new ArrayList<>();
        private final Set<Long> granted = new HashSet<>();
        private final Map<Long, Long> grantedMillis = new HashMap<>();
        private final Set<Long> started = new HashSet<>();
        private final Set<Long> denied = new HashSet<>();
        private final Set<Long> cancelled = new HashSet<>();

        private Run(Random random) {
            this.random = random;
        }

        private void step() {
            engine.nowMillis += random.nextInt(30);
            int before = engine.book.load();
            int kind = random.nextInt(8);
            boolean isReport = kind == 5 || kind == 6;
            List<SlotAnswer> answers =
                    switch (kind) {
                        case 0, 1, 2 -> submitNew();
                        case 3 -> repeat();
                        case 4 -> cancel();
                        case 5, 6 -> report();
                        default -> engine.book.advance();
                    };
            int after = engine.book.load();
            boolean isNewlyGranted = answers.stream().anyMatch(this::isNewGrant);
            // A report may show more than the slots, since leases that are over may still have been used.
            assertTrue(after <= SLOTS || !isNewlyGranted && (isReport || after <= before));
            answers.forEach(this::check);
        }

        private List<SlotAnswer> submitNew() {
            Rank rank = RANKS.get(random.nextInt(RANKS.size()));
            String account = ACCOUNTS.get(random.nextInt(ACCOUNTS.size()));
            SlotRequest request =
                    SlotBookFixture.request(requests.size(), rank, account, random.nextInt(500), random.nextInt(2_000));
            requests.add(request);
            return engine.book.submit(request);
        }

        /** Repeats one of the latest requests, as an older one is not on its way any more. */
        private List<SlotAnswer> repeat() {
            return latest() < 0 ? List.of() : engine.book.submit(requests.get(latest()));
        }

        private int latest() {
            return requests.size() - 1 - random.nextInt(Math.min(4, Math.max(1, requests.size())));
        }

        private List<SlotAnswer> cancel() {
            if (latest() < 0) {
                return List.of();
            }
            SlotRequest.Key key = requests.get(latest()).key();
            engine.book.cancel(key);
            cancelled.add(key.id());
            return List.of();
        }

        /** Some granted requests have begun to run, and some have ended. */
        private List<SlotAnswer> report() {
            engine.running.removeIf(id -> random.nextInt(MAX_RUN_STEPS) < 10);
            granted.stream()
                    .filter(id -> random.nextInt(3) > 0 && engine.running.size() < SLOTS)
                    .forEach(id -> {
                        engine.running.add("a" + id);
                        started.add(id);
                    });
            granted.clear();
            return engine.report();
        }

        /** Returns whether an answer takes another slot, as the request has neither a valid grant nor begun to run. */
        private boolean isNewGrant(SlotAnswer answer) {
            long id = answer.key().id();
            long leasedMillis = engine.nowMillis - grantedMillis.getOrDefault(id, 0L);
            return answer.decision() instanceof SlotDecision.Granted
                    && leasedMillis >= Grants.LEASE_MILLIS
                    && !started.contains(id);
        }

        private void check(SlotAnswer answer) {
            long id = answer.key().id();
            if (answer.decision() instanceof SlotDecision.Granted) {
                assertFalse(cancelled.contains(id) || denied.contains(id));
                granted.add(id);
                grantedMillis.merge(
                        id, engine.nowMillis, (first, now) -> now - first >= Grants.LEASE_MILLIS ? now : first);
            } else if (answer.decision() instanceof SlotDecision.Denied) {
                assertFalse(cancelled.contains(id) || granted.contains(id));
                denied.add(id);
            } else {
                assertFalse(cancelled.contains(id) || denied.contains(id));
            }
        }
    }
}
