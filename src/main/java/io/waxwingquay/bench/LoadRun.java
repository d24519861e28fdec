package io.waxwingquay.bench;

import io.waxwingquay.bench.LocalDeployment.InitialResidents;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.standin.CostModel;
import io.waxwingquay.standin.EngineMemory;
import io.waxwingquay.standin.LoadPacer;
import io.waxwingquay.standin.ModelEngineStandin;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * One benchmark run: a load on a fresh deployment under one policy, with one seed and one fault.
 *
 * @param workload generates the requests.
 * @param policy the routing, placement and admission under test.
 * @param fault the fault that is injected.
 * @param seed seed of the random generators.
 * @param seconds duration of the load.
 */
record LoadRun(Workload workload, PolicyPair policy, Fault fault, long seed, int seconds) {

    private static final String RANDOM_ALGORITHM = "L64X128MixRandom";
    private static final CostModel ENGINE_COSTS =
            new CostModel(400, 40, 40_000, 800, 16, 65_536, 50_000, 500_000, 250_000);
    private static final int ENTRIES = 3;
    private static final long SERVING_TIMEOUT_MILLIS = 30_000L;
    private static final long QUIESCENCE_POLL_MILLIS = 1_000L;
    private static final int MAX_QUIESCENCE_POLLS = 6;
    private static final long DRAIN_TIMEOUT_MILLIS = 20_000L;
    private static final int MAX_PRINTED_FAILURES = 6;

    RunResult measure(Path bundles, PrintWriter trace) throws IOException, InterruptedException {
        byte[] document = Files.readAllBytes(bundles.resolve(workload.bundleFile()));
        PlacementGate gate = new PlacementGate();
        try (LocalDeployment deployment = LocalDeployment.builder(document)
                        .entries(ENTRIES)
                        .routingPolicy(policy.routing())
                        .decisions(policy.decisionsHeldBy(gate))
                        .costs(ENGINE_COSTS)
                        .initialResidents(InitialResidents.PRELOADED)
                        .start();
                Caller caller = new Caller()) {
            if (!deployment.awaitServing(SERVING_TIMEOUT_MILLIS)) {
                trace.println("  not every model was served before the load: "
                        + deployment.unservedModels(deployment.entries().get(0)));
            }
            gate.open();
            awaitQuiescence(deployment);
            return runLoad(deployment, caller, trace);
        }
    }

    /** Waits until no model or adapter was loaded or evicted between two polls, for a limited number of polls. */
    private static void awaitQuiescence(LocalDeployment deployment) throws InterruptedException {
        long before = -1;
        Moves now = Moves.of(deployment);
        for (int step = 0; step < MAX_QUIESCENCE_POLLS && now.total() != before; step++) {
            before = now.total();
            TimeUnit.MILLISECONDS.sleep(QUIESCENCE_POLL_MILLIS);
            now = Moves.of(deployment);
        }
    }

    private RunResult runLoad(LocalDeployment deployment, Caller caller, PrintWriter trace)
            throws InterruptedException {
        List<Arrival> arrivals = workload.arrivals(
                RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(seed),
                seconds,
                fault.surge(workload.surgingModel(), seconds));
        RandomGenerator balancer = RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(seed);
        Moves before = Moves.of(deployment);
        AnswerStatistics statistics = new AnswerStatistics(seconds);
        Thread faultThread = new Thread(() -> injectFault(deployment), "bench-fault");
        faultThread.setDaemon(true);
        faultThread.start();
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        long startNanos = System.nanoTime();
        long maxSendDelayNanos = 0;
        for (Arrival arrival : arrivals) {
            long dueNanos = startNanos + TimeUnit.MICROSECONDS.toNanos(arrival.atMicros());
            sleepUntil(dueNanos);
            maxSendDelayNanos = Math.max(maxSendDelayNanos, System.nanoTime() - dueNanos);
            HostPort entry = chooseEntry(deployment, balancer, arrival.atMicros());
            answers.add(send(caller, entry, arrival).thenAccept(answer -> statistics.record(arrival, answer)));
        }
        awaitAll(answers);
        faultThread.join(DRAIN_TIMEOUT_MILLIS);
        Moves moves = Moves.of(deployment).since(before);
        printTrace(statistics, moves, trace);
        return result(deployment, arrivals, statistics, moves, TimeUnit.NANOSECONDS.toMillis(maxSendDelayNanos));
    }

    private static CompletableFuture<CallerAnswer> send(Caller caller, HostPort entry, Arrival arrival) {
        return arrival.completion()
                .map(completion -> caller.complete(entry, completion))
                .orElseGet(() -> caller.call(entry, arrival.call().orElseThrow()));
    }

    /**
     * Chooses an entry as the platform's load balancer does: it skips a lost entry from one second after the loss until
     * one second after the end of the fault.
     */
    private HostPort chooseEntry(LocalDeployment deployment, RandomGenerator balancer, long atMicros) {
        double atSeconds = TimeUnit.MICROSECONDS.toMillis(atMicros) / 1_000.0;
        int number = balancer.nextInt(ENTRIES);
        boolean isLost = fault == Fault.DATA_CENTRE_LOSS
                && number == Fault.LOST_DATA_CENTRE
                && atSeconds > Fault.BEGIN_SHARE * seconds + 1
                && atSeconds < Fault.END_SHARE * seconds + 1;
        return deployment.callerAddress(isLost ? number + 1 : number);
    }

    private void injectFault(LocalDeployment deployment) {
        long startNanos = System.nanoTime();
        long durationMillis = Math.round((Fault.END_SHARE - Fault.BEGIN_SHARE) * seconds * 1_000);
        sleepUntil(startNanos + Math.round(Fault.BEGIN_SHARE * seconds * 1e9));
        fault.begin(deployment, durationMillis);
        sleepUntil(startNanos + Math.round(Fault.END_SHARE * seconds * 1e9));
        fault.end(deployment);
    }

    private static void sleepUntil(long dueNanos) {
        long remainingNanos = dueNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = dueNanos - System.nanoTime();
        }
    }

    private static void awaitAll(List<CompletableFuture<Void>> answers) throws InterruptedException {
        try {
            CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                    .get(DRAIN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException unanswered) {
            // A request without an answer by now counts as not attained, since the statistics lack it.
        } catch (java.util.concurrent.ExecutionException failure) {
            throw new IllegalStateException("a caller of the bench failed", failure);
        }
    }

    private void printTrace(AnswerStatistics statistics, Moves moves, PrintWriter trace) {
        trace.println("  " + policy.name() + " seed " + seed + ": " + statistics.counts() + " " + moves);
        statistics.failures().entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder()))
                .limit(MAX_PRINTED_FAILURES)
                .forEach(failure -> trace.println("    " + failure.getValue() + " x " + failure.getKey()));
        trace.flush();
    }

    private RunResult result(
            LocalDeployment deployment,
            List<Arrival> arrivals,
            AnswerStatistics statistics,
            Moves moves,
            long latestSendMillis) {
        AnswerStatistics.Counts counts = statistics.counts();
        long plainSent =
                arrivals.stream().filter(arrival -> arrival.call().isPresent()).count();
        LoadPacer.Stats modelLoads = weightStoreStats(deployment).models();
        LoadPacer.Stats adapterLoads = weightStoreStats(deployment).adapters();
        double faultSeconds = Fault.BEGIN_SHARE * seconds;
        double endSeconds = Fault.END_SHARE * seconds;
        return new RunResult(
                workload.name(),
                policy.name(),
                fault.title(),
                seed,
                arrivals.size() - plainSent,
                counts.attained(),
                counts.attained() / (double) accelerators(deployment.bundle()) / seconds,
                moves.models(),
                moves.adapters(),
                counts.refusedDidNotRun(),
                counts.refusedUnknown(),
                counts.late(),
                counts.firstTokenP50Millis(),
                counts.firstTokenP99Millis(),
                plainSent,
                counts.plainAttained(),
                mostRunsOfOneKey(deployment),
                statistics.attainedShareBeforeFault(faultSeconds),
                statistics.attainedShare((int) Math.ceil(endSeconds), seconds),
                statistics.recoverSeconds(faultSeconds, endSeconds),
                modelLoads.maxInFlight(),
                adapterLoads.maxInFlight(),
                modelLoads.overLimit() + adapterLoads.overLimit(),
                memoryStats(deployment)
                        .mapToLong(EngineMemory.Stats::overcommits)
                        .sum(),
                latestSendMillis,
                statistics.attainedShareBySecond());
    }

    private static io.waxwingquay.standin.WeightStoreStandin.Stats weightStoreStats(LocalDeployment deployment) {
        return deployment.targets().weightStores().values().iterator().next().stats();
    }

    private static int mostRunsOfOneKey(LocalDeployment deployment) {
        Map<String, Integer> runsByKey = new java.util.HashMap<>();
        deployment.targets().plainServices().values().forEach(plain -> plain.stats()
                .runsByKey()
                .forEach((key, runs) -> runsByKey.merge(key, runs, Integer::sum)));
        return runsByKey.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    private static int accelerators(Bundle bundle) {
        return bundle.services().stream()
                .filter(service -> service.kind() == Bundle.Kind.MODEL)
                .mapToInt(service -> service.replicas() * service.accelerators())
                .sum();
    }

    private static java.util.stream.Stream<EngineMemory.Stats> memoryStats(LocalDeployment deployment) {
        return deployment.targets().engines().values().stream()
                .map(ModelEngineStandin::stats)
                .map(ModelEngineStandin.Stats::memory);
    }

    /** The loads and evictions in a deployment so far, counted apart for models and adapters. */
    private record Moves(long modelLoads, long modelEvictions, long adapterLoads, long adapterEvictions) {

        static Moves of(LocalDeployment deployment) {
            return memoryStats(deployment)
                    .map(stats -> new Moves(
                            stats.loads() - stats.adapterLoads(),
                            stats.evictions() - stats.adapterEvictions(),
                            stats.adapterLoads(),
                            stats.adapterEvictions()))
                    .reduce(new Moves(0, 0, 0, 0), Moves::plus);
        }

        Moves plus(Moves other) {
            return new Moves(
                    modelLoads + other.modelLoads,
                    modelEvictions + other.modelEvictions,
                    adapterLoads + other.adapterLoads,
                    adapterEvictions + other.adapterEvictions);
        }

        Moves since(Moves earlier) {
            return plus(new Moves(
                    -earlier.modelLoads, -earlier.modelEvictions, -earlier.adapterLoads, -earlier.adapterEvictions));
        }

        long models() {
            return modelLoads + modelEvictions;
        }

        long adapters() {
            return adapterLoads + adapterEvictions;
        }

        long total() {
            return models() + adapters();
        }
    }
}
