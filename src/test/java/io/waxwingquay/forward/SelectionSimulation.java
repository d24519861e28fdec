package io.waxwingquay.forward;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.HeldModel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.IntFunction;
import java.util.function.LongUnaryOperator;
import java.util.stream.IntStream;

/**
 * Simulates entries that each select an engine for their requests by reports that are 200 to 775 ms old. Engines run as
 * many requests as they have slots and queue the others; an adapter that is not loaded takes the place of the least
 * recently used idle one.
 */
final class SelectionSimulation {

    static final int SLOTS = 24;
    static final int PLACES = 8;
    static final long WINDOW_MILLIS = 100;

    /** Time from a report to the entries that choose by it; the next constant is the time between two reports. */
    private static final long REPORT_DELAY_MILLIS = 200;

    private static final long REPORT_INTERVAL_MILLIS = 575;
    private static final long MEAN_RUN_MILLIS = 2_000;

    /** Entries and engines of the measured day, which determine how long a report is valid. */
    private static final int RECEIVERS = 71;

    static final Engine ENGINE = new Engine(SLOTS, 60_000, 200.0, PLACES, 1.0, List.of());

    final List<SimulatedEngine> engines;
    int requests;
    int loadedAtArrival;
    int evictions;
    int inOtherZone;
    int queued;
    private final List<Entry> entries;
    private final Random random = new Random(11);
    private final Random reportLoss = new Random(12);
    private final double lostShare;
    private long nowMillis = 10_000;

    /**
     * Creates idle engines and entries without reports.
     *
     * @param entryCount the number of entries.
     * @param engineZones the data centre of each engine.
     * @param lostShare the share of reports that do not reach an entry.
     * @param zoneOfEntry the data centre of each entry.
     * @param selection creates the strategy of an entry.
     */
    SelectionSimulation(
            int entryCount,
            List<String> engineZones,
            double lostShare,
            IntFunction<String> zoneOfEntry,
            BiFunction<EngineCost, Random, EngineSelection> selection) {
        this.lostShare = lostShare;
        engines = IntStream.range(0, engineZones.size())
                .mapToObj(index -> new SimulatedEngine(index, engineZones.get(index)))
                .toList();
        entries = IntStream.range(0, entryCount)
                .mapToObj(index -> new Entry(zoneOfEntry.apply(index), index, selection))
                .toList();
    }

    /**
     * Runs for a time.
     *
     * @param durationMillis the time.
     * @param perSecond the requests per second of all entries together.
     * @param entryOf selects the index of the entry of a request from a random number.
     * @param adapterOf selects the adapter of a request.
     */
    void run(
            long durationMillis, double perSecond, LongUnaryOperator entryOf, IntFunction<Optional<String>> adapterOf) {
        long endMillis = nowMillis + durationMillis;
        for (; nowMillis < endMillis; nowMillis++) {
            engines.forEach(SimulatedEngine::tick);
            for (double due = perSecond / 1_000; random.nextDouble() < due; due--) {
                Entry entry = entries.get((int) entryOf.applyAsLong(random.nextLong(entries.size())));
                entry.send(adapterOf.apply(random.nextInt(Integer.MAX_VALUE)));
            }
        }
    }

    /** Forgets what was counted. */
    void resetCounts() {
        requests = 0;
        loadedAtArrival = 0;
        evictions = 0;
        inOtherZone = 0;
        queued = 0;
        engines.forEach(engine -> engine.arrivalsByWindow.clear());
    }

    /** Returns the variance over the mean of the arrivals at an engine per window. */
    double dispersion(long durationMillis) {
        int windows = (int) (durationMillis / WINDOW_MILLIS);
        return engines.stream()
                .mapToDouble(engine -> {
                    double mean = engine.arrivals() / (double) windows;
                    double squares = engine.arrivalsByWindow.values().stream()
                            .mapToDouble(count -> (double) count * count)
                            .sum();
                    return (squares / windows - mean * mean) / mean;
                })
                .average()
                .orElseThrow();
    }

    /** Returns the arrivals at the busiest engine over the mean. */
    double busiestOverMean() {
        return engines.stream().mapToInt(SimulatedEngine::arrivals).max().orElseThrow()
                * (double) engines.size()
                / requests;
    }

    int inEngines(String zone) {
        return engines.stream()
                .filter(engine -> engine.zone.equals(zone))
                .mapToInt(SimulatedEngine::load)
                .sum();
    }

    /** An entry with its own view of each engine. */
    private final class Entry {

        private final Map<SimulatedEngine, Target> targets = new LinkedHashMap<>();
        private final EngineSelection selection;
        private final String zone;

        private Entry(String zone, int index, BiFunction<EngineCost, Random, EngineSelection> selection) {
            this.zone = zone;
            this.selection = selection.apply(new EngineCost(zone), new Random(index));
            engines.forEach(engine -> targets.put(engine, engine.newTarget()));
        }

        private void send(Optional<String> adapter) {
            EngineRequirements requirements = new EngineRequirements("m", adapter, 0, MEAN_RUN_MILLIS);
            List<Target> present = targets.entrySet().stream()
                    .filter(each -> !each.getKey().gone)
                    .map(Map.Entry::getValue)
                    .toList();
            Target selected = selection.select(
                    new EngineSelection.Query(present, Set.of(), ENGINE, requirements, Set.of(), nowMillis));
            SimulatedEngine engine = engines.stream()
                    .filter(each -> targets.get(each) == selected)
                    .findFirst()
                    .orElseThrow();
            requests++;
            inOtherZone += engine.zone.equals(zone) ? 0 : 1;
            selected.requestSent(Optional.of("m"), adapter, 0, nowMillis);
            engine.arrive(new Run(selected, adapter));
        }
    }

    /** A request that an engine runs, or queues until it has a slot and a place for the adapter. */
    private static final class Run {

        private final Target target;
        private final Optional<String> adapter;
        private long endMillis;

        private Run(Target target, Optional<String> adapter) {
            this.target = target;
            this.adapter = adapter;
        }
    }

    /** An engine. */
    final class SimulatedEngine {

        final Map<Long, Integer> arrivalsByWindow = new HashMap<>();
        final Map<String, Long> lastUseByAdapter = new HashMap<>();
        boolean gone;
        private final String id;
        private final String zone;
        private final List<Run> running = new ArrayList<>();
        private final List<Run> waiting = new ArrayList<>();
        private EngineNews report = new EngineNews();
        private long number;

        private SimulatedEngine(int index, String zone) {
            this.id = "engine-" + index;
            this.zone = zone;
            this.number = index * 57L;
        }

        int arrivals() {
            return arrivalsByWindow.values().stream()
                    .mapToInt(Integer::intValue)
                    .sum();
        }

        int load() {
            return running.size() + waiting.size();
        }

        Target newTarget() {
            HostPort address = new HostPort("10.0.0.1", 80);
            ReplicaRecord record =
                    new ReplicaRecord(id, 1, "s", "v1", address, zone, SLOTS, false, OptionalLong.empty(), List.of());
            Target target = new Target(record, new ClientPool(null, new InetSocketAddress("127.0.0.1", 1), 100));
            target.receiverCount(RECEIVERS);
            return target;
        }

        private void arrive(Run run) {
            arrivalsByWindow.merge(nowMillis / WINDOW_MILLIS, 1, Integer::sum);
            loadedAtArrival += run.adapter.filter(lastUseByAdapter::containsKey).isPresent() ? 1 : 0;
            queued += running.size() >= SLOTS ? 1 : 0;
            waiting.add(run);
        }

        private void tick() {
            running.stream()
                    .filter(run -> run.endMillis <= nowMillis)
                    .forEach(run -> run.target.requestEnded(Optional.of("m"), run.adapter));
            running.removeIf(run -> run.endMillis <= nowMillis);
            waiting.removeIf(this::tryStart);
            long phaseMillis = (nowMillis + number) % REPORT_INTERVAL_MILLIS;
            if (phaseMillis == 0) {
                report = newReport();
            } else if (phaseMillis == REPORT_DELAY_MILLIS) {
                deliver();
            }
        }

        private boolean tryStart(Run run) {
            if (running.size() >= SLOTS || !run.adapter.map(this::makePlaceFor).orElse(true)) {
                return false;
            }
            run.adapter.ifPresent(adapter -> lastUseByAdapter.put(adapter, nowMillis));
            run.endMillis = nowMillis + MEAN_RUN_MILLIS / 2 + random.nextLong(MEAN_RUN_MILLIS);
            return running.add(run);
        }

        private boolean makePlaceFor(String adapter) {
            if (lastUseByAdapter.containsKey(adapter) || lastUseByAdapter.size() < PLACES) {
                return true;
            }
            Optional<String> idle = lastUseByAdapter.keySet().stream()
                    .filter(held -> running.stream().noneMatch(run -> run.adapter.equals(Optional.of(held))))
                    .min(Comparator.comparing(lastUseByAdapter::get));
            idle.ifPresent(lastUseByAdapter::remove);
            evictions += idle.isPresent() ? 1 : 0;
            return idle.isPresent();
        }

        private EngineNews newReport() {
            HeldModel model = new HeldModel("m", new ArrayList<>(lastUseByAdapter.keySet()));
            return new EngineNews()
                    .setEngineAddress("10.0.0.1:80")
                    .setNumber(nowMillis)
                    .setRunning(running.size())
                    .setWaiting(waiting.size())
                    .setEntries(entries.size())
                    .setNearModels(List.of())
                    .setModels(new ArrayList<>(List.of(model)));
        }

        private void deliver() {
            if (!report.isSetModels() || gone) {
                return;
            }
            for (Entry entry : entries) {
                if (reportLoss.nextDouble() >= lostShare) {
                    entry.targets.get(this).update(report.deepCopy(), nowMillis);
                }
            }
        }
    }
}
