package io.waxwingquay.account;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.transport.generated.SpendingReply;
import io.waxwingquay.transport.generated.SpendingReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Entries that spend one account's quota in simulated time, through the classes that run in processes. Datagrams take
 * a millisecond or two, and some are lost.
 */
final class QuotaSimulation {

    static final QuotaTolerance TOLERANCE = new QuotaTolerance(8_000, 0.1, 7_400);

    private static final int RECEIVERS = 12;
    private static final long REPORT_DELAY_MILLIS = 1;
    private static final long WAITING_CHECK_MILLIS = 30;
    private static final long TICK_MILLIS = 250;

    private final Random random;
    private final int entryCount;
    private final Quota quota;
    private final Strategy strategy;
    private final Deque<Spent> window = new ArrayDeque<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final TokenBucket ideal;
    private final double[] weights;
    private double windowUnits;
    private double maxExcess = Double.NEGATIVE_INFINITY;
    private long allowedRequests;
    private long refusedThoughAllowed;
    private long nowMillis;
    private long eventCount;
    long datagrams;
    private final double loss;

    QuotaSimulation(int entryCount, Quota quota, Kind kind, double loss, long seed) {
        this.loss = loss;
        this.random = new Random(seed);
        this.entryCount = entryCount;
        this.quota = quota;
        this.ideal = new TokenBucket(quota.burst(), 0);
        this.weights = IntStream.range(0, entryCount)
                .mapToDouble(entry -> random.nextDouble() * random.nextDouble())
                .toArray();
        this.strategy = kind.create(this);
    }

    /** The ways that were weighed. */
    enum Kind {
        EQUAL_PARTS {
            @Override
            Strategy create(QuotaSimulation simulation) {
                return new EqualParts(simulation);
            }
        },
        DEMAND_PARTS {
            @Override
            Strategy create(QuotaSimulation simulation) {
                return new DemandParts(simulation);
            }
        },
        SHARED_TALLY {
            @Override
            Strategy create(QuotaSimulation simulation) {
                return new SharedTally(simulation);
            }
        };

        abstract Strategy create(QuotaSimulation simulation);
    }

    /** Spends at a multiple of the quota's rate through some of the entries, chosen by weight. */
    QuotaSimulation demand(long untilMillis, double multiple, int usedEntries, long unitsPerRequest) {
        double perMillis = quota.perSecond() * multiple / unitsPerRequest / 1_000;
        while (true) {
            long next = nowMillis + Math.round(-Math.log(1 - random.nextDouble()) / perMillis);
            if (next > untilMillis) {
                runEvents(untilMillis);
                return this;
            }
            runEvents(next);
            request(pickEntry(usedEntries), unitsPerRequest);
        }
    }

    /** Loses all processes at once, and starts them again. */
    QuotaSimulation restartAll(long downMillis) {
        runEvents(nowMillis + downMillis);
        strategy.restartAll();
        return this;
    }

    /** Cuts the last entries off from all processes that add up spending. */
    QuotaSimulation cut(int entries) {
        strategy.cut(entries);
        return this;
    }

    /** Returns how far the bound was exceeded in the worst window, in units; below 0 if it was kept. */
    double maxExcess() {
        return maxExcess;
    }

    /** Returns the share of requests refused of those that a sole entry would have let pass. */
    double refusedShare() {
        return allowedRequests == 0 ? 0 : (double) refusedThoughAllowed / allowedRequests;
    }

    private int pickEntry(int usedEntries) {
        double total = IntStream.range(0, usedEntries)
                .mapToDouble(entry -> weights[entry])
                .sum();
        double left = random.nextDouble() * total;
        for (int entry = 0; entry < usedEntries; entry++) {
            left -= weights[entry];
            if (left < 0) {
                return entry;
            }
        }
        return usedEntries - 1;
    }

    private void request(int entry, long units) {
        ideal.refill(quota.perSecond(), quota.burst(), nowMillis);
        boolean allowed = ideal.units() > 0;
        if (allowed) {
            ideal.spend(units);
            allowedRequests++;
        }
        strategy.spend(entry, units, refused -> {
            if (refused.isEmpty()) {
                recordSpent(units);
            } else if (allowed) {
                refusedThoughAllowed++;
            }
        });
    }

    private void recordSpent(long units) {
        window.add(new Spent(nowMillis, units));
        windowUnits += units;
        while (window.peek().atMillis <= nowMillis - TOLERANCE.windowMillis()) {
            windowUnits -= window.remove().units;
        }
        double bound =
                (quota.perSecond() * TOLERANCE.windowMillis() / 1_000 + quota.burst()) * (1 + TOLERANCE.excessShare())
                        + TOLERANCE.slackUnits();
        maxExcess = Math.max(maxExcess, windowUnits - bound);
    }

    private void runEvents(long untilMillis) {
        while (!events.isEmpty() && events.peek().atMillis <= untilMillis) {
            Event event = events.remove();
            nowMillis = event.atMillis;
            event.action.run();
        }
        nowMillis = untilMillis;
    }

    private void after(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, eventCount++, action));
    }

    private void send(Runnable delivery) {
        datagrams++;
        if (random.nextDouble() >= loss) {
            after(1 + random.nextInt(2), delivery);
        }
    }

    private record Spent(long atMillis, long units) {}

    private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMillis != other.atMillis
                    ? Long.compare(atMillis, other.atMillis)
                    : Long.compare(order, other.order);
        }
    }

    /** One way of keeping the quota together. */
    private interface Strategy {

        void spend(int entry, long units, Allowance.Decision decision);

        void restartAll();

        default void cut(int entries) {}
    }

    private static final class EqualParts implements Strategy {

        private final QuotaSimulation simulation;
        private List<Allowance> parts;

        EqualParts(QuotaSimulation simulation) {
            this.simulation = simulation;
            restartAll();
        }

        @Override
        public void spend(int entry, long units, Allowance.Decision decision) {
            parts.get(entry).spend(units, simulation.nowMillis, decision);
        }

        @Override
        public void restartAll() {
            Quota quota = simulation.quota;
            parts = simulation
                    .random
                    .doubles(simulation.entryCount)
                    .<Allowance>mapToObj(phase -> new Allowance.WithEqualPart(
                            quota,
                            TOLERANCE.initialUnits(quota.perSecond(), quota.burst()),
                            () -> simulation.entryCount,
                            phase,
                            simulation.nowMillis))
                    .toList();
        }
    }

    /** Parts by what each entry was lately asked for, told to all in rounds; a twentieth is parted equally. */
    private static final class DemandParts implements Strategy {

        private static final double FLOOR_SHARE = 0.05;

        private final QuotaSimulation simulation;
        private final TokenBucket[] buckets;
        private final double[] asked;
        private double[] shares;

        DemandParts(QuotaSimulation simulation) {
            this.simulation = simulation;
            this.buckets = new TokenBucket[simulation.entryCount];
            this.asked = new double[simulation.entryCount];
            restartAll();
            round();
        }

        @Override
        public void spend(int entry, long units, Allowance.Decision decision) {
            asked[entry] += units;
            Quota quota = simulation.quota;
            TokenBucket bucket = buckets[entry];
            bucket.refill(quota.perSecond() * shares[entry], quota.burst() * shares[entry], simulation.nowMillis);
            boolean admitted = bucket.units() > 0;
            if (admitted) {
                bucket.spend(units);
            }
            decision.decided(admitted ? OptionalLong.empty() : OptionalLong.of(1));
        }

        @Override
        public void restartAll() {
            Quota quota = simulation.quota;
            double initial = TOLERANCE.initialUnits(quota.perSecond(), quota.burst()) / simulation.entryCount;
            for (int entry = 0; entry < buckets.length; entry++) {
                buckets[entry] = new TokenBucket(initial, simulation.nowMillis);
            }
            shares = simulation
                    .random
                    .doubles(simulation.entryCount)
                    .map(any -> 1.0 / simulation.entryCount)
                    .toArray();
        }

        private void round() {
            double total = IntStream.range(0, asked.length)
                    .mapToDouble(entry -> asked[entry])
                    .sum();
            for (int entry = 0; entry < asked.length && total > 0; entry++) {
                shares[entry] = FLOOR_SHARE / asked.length + (1 - FLOOR_SHARE) * asked[entry] / total;
                asked[entry] /= 2;
            }
            simulation.datagrams += 2L * asked.length;
            simulation.after(TICK_MILLIS, this::round);
        }
    }

    /** The classes that processes run. */
    private static final class SharedTally implements Strategy {

        private final QuotaSimulation simulation;
        private final Account account;
        private final List<AllowanceTable> tables = new ArrayList<>();
        private final Map<HostPort, SpendingTallies> processes = new HashMap<>();
        private final Set<HostPort> addresses = IntStream.range(0, RECEIVERS)
                .mapToObj(number -> new HostPort("10.0.1." + number, 1))
                .collect(Collectors.toSet());
        private final Set<Integer> scheduled = new HashSet<>();
        private int cutFrom;

        SharedTally(QuotaSimulation simulation) {
            this.simulation = simulation;
            this.cutFrom = simulation.entryCount;
            this.account = new Account("a", Set.of(), OptionalInt.empty(), Optional.of(simulation.quota));
            restartAll();
            tick();
        }

        @Override
        public void spend(int entry, long units, Allowance.Decision decision) {
            tables.get(entry).spend(account, units, decision);
            if (tables.get(entry).isReportDue(account) && scheduled.add(entry)) {
                simulation.after(REPORT_DELAY_MILLIS, () -> {
                    scheduled.remove(entry);
                    sendReports(entry);
                });
            }
        }

        @Override
        public void cut(int entries) {
            cutFrom = simulation.entryCount - entries;
        }

        @Override
        public void restartAll() {
            tables.clear();
            addresses.forEach(address -> processes.put(address, new SpendingTallies(TOLERANCE)));
            for (int entry = 0; entry < simulation.entryCount; entry++) {
                AllowanceTable table = new AllowanceTable(
                        TOLERANCE, () -> simulation.entryCount, simulation.random, () -> simulation.nowMillis);
                table.configure(Accounts.of(List.of(account)), 1);
                table.processes(addresses);
                tables.add(table);
            }
        }

        private void tick() {
            IntStream.range(0, simulation.entryCount).forEach(this::sendReports);
            simulation.after(TICK_MILLIS, this::tick);
        }

        private void sendReports(int entry) {
            AllowanceTable table = tables.get(entry);
            simulation.after(WAITING_CHECK_MILLIS, () -> {
                if (table.checkWaiting()) {
                    sendReports(entry);
                }
            });
            table.reportsDue().forEach(report -> {
                if (entry < cutFrom) {
                    simulation.send(() -> deliver(entry, table, report.receiver(), report.report()));
                }
            });
        }

        private void deliver(int entry, AllowanceTable table, HostPort receiver, SpendingReport report) {
            SpendingReply reply =
                    processes.get(receiver).report(new HostPort("10.0.2.1", entry + 1), report, simulation.nowMillis);
            simulation.send(() -> table.replied(receiver, reply));
        }
    }
}
