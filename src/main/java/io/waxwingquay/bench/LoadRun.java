package io.waxwingquay.bench;

import io.waxwingquay.bench.LocalDeployment.InitialResidents;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.standin.CostModel;
import io.waxwingquay.standin.EngineMemory;
import io.waxwingquay.standin.LoadPace;
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
 * One run: a fresh deployment, a policy, a seed, a fault.
 *
 * @param workload the requests.
 * @param policy what decides.
 * @param fault what goes wrong.
 * @param seed the seed.
 * @param seconds how long requests are sent.
 */
record LoadRun(Workload workload, PolicyPair policy, Fault fault, long seed, int seconds) {

    private static final String ALGORITHM = "L64X128MixRandom";
    private static final CostModel COSTS = new CostModel(400, 40, 40_000, 800, 16, 65_536, 50_000, 500_000, 250_000);
    private static final int ENTRIES = 3;
    private static final long SERVING_LIMIT_MILLIS = 30_000L;
    private static final long SETTLE_STEP_MILLIS = 1_000L;
    private static final int SETTLE_STEPS = 6;
    private static final long TAIL_LIMIT_MILLIS = 20_000L;
    private static final int TOP_FAILURES = 6;

    RunResult measure(Path bundles, PrintWriter trace) throws IOException, InterruptedException {
        byte[] document = Files.readAllBytes(bundles.resolve(workload.bundleFile()));
        StartGate gate = new StartGate();
        try (LocalDeployment deployment = LocalDeployment.builder(document)
                        .entries(ENTRIES)
                        .routingPolicy(policy.routing())
                        .decisions(policy.decisionsBehind(gate))
                        .costs(COSTS)
                        .initialResidents(InitialResidents.PRELOADED)
                        .start();
                Caller caller = new Caller()) {
            if (!deployment.awaitServing(SERVING_LIMIT_MILLIS)) {
                trace.println("  not every model was served before the load: "
                        + deployment.unservedModels(deployment.entries().get(0)));
            }
            gate.open();
            settle(deployment);
            return load(deployment, caller, trace);
        }
    }

    /** Waits until nothing has moved for a while, at most some steps. */
    private static void settle(LocalDeployment deployment) throws InterruptedException {
        long before = -1;
        Moves now = Moves.of(deployment);
        for (int step = 0; step < SETTLE_STEPS && now.all() != before; step++) {
            before = now.all();
            TimeUnit.MILLISECONDS.sleep(SETTLE_STEP_MILLIS);
            now = Moves.of(deployment);
        }
    }

    private RunResult load(LocalDeployment deployment, Caller caller, PrintWriter trace) throws InterruptedException {
        List<Arrival> arrivals = workload.arrivals(
                RandomGeneratorFactory.of(ALGORITHM).create(seed),
                seconds,
                fault.surge(workload.surgingModel(), seconds));
        RandomGenerator balancer = RandomGeneratorFactory.of(ALGORITHM).create(seed);
        Moves before = Moves.of(deployment);
        Tally tally = new Tally(seconds);
        Thread faults = new Thread(() -> showFault(deployment), "bench-fault");
        faults.setDaemon(true);
        faults.start();
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        long startNanos = System.nanoTime();
        long latestNanos = 0;
        for (Arrival arrival : arrivals) {
            long dueNanos = startNanos + TimeUnit.MICROSECONDS.toNanos(arrival.atMicros());
            sleepUntil(dueNanos);
            latestNanos = Math.max(latestNanos, System.nanoTime() - dueNanos);
            HostPort entry = entry(deployment, balancer, arrival.atMicros());
            answers.add(send(caller, entry, arrival).thenAccept(answer -> tally.note(arrival, answer)));
        }
        awaitAll(answers);
        faults.join(TAIL_LIMIT_MILLIS);
        Moves moves = Moves.of(deployment).since(before);
        traceRun(tally, moves, trace);
        return result(deployment, arrivals, tally, moves, TimeUnit.NANOSECONDS.toMillis(latestNanos));
    }

    private static CompletableFuture<CallerAnswer> send(Caller caller, HostPort entry, Arrival arrival) {
        return arrival.completion()
                .map(completion -> caller.complete(entry, completion))
                .orElseGet(() -> caller.call(entry, arrival.call().orElseThrow()));
    }

    /** The platform's balancer, which passes over a lost entry from a second after the loss to its return. */
    private HostPort entry(LocalDeployment deployment, RandomGenerator balancer, long atMicros) {
        double at = TimeUnit.MICROSECONDS.toMillis(atMicros) / 1_000.0;
        int number = balancer.nextInt(ENTRIES);
        boolean isLost = fault == Fault.DATA_CENTRE_LOSS
                && number == Fault.LOST
                && at > Fault.BEGIN * seconds + 1
                && at < Fault.END * seconds + 1;
        return deployment.callerAddress(isLost ? number + 1 : number);
    }

    private void showFault(LocalDeployment deployment) {
        long startNanos = System.nanoTime();
        long lastsMillis = Math.round((Fault.END - Fault.BEGIN) * seconds * 1_000);
        sleepUntil(startNanos + Math.round(Fault.BEGIN * seconds * 1e9));
        fault.begin(deployment, lastsMillis);
        sleepUntil(startNanos + Math.round(Fault.END * seconds * 1e9));
        fault.end(deployment);
    }

    private static void sleepUntil(long dueNanos) {
        long left = dueNanos - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = dueNanos - System.nanoTime();
        }
    }

    private static void awaitAll(List<CompletableFuture<Void>> answers) throws InterruptedException {
        try {
            CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                    .get(TAIL_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException unanswered) {
            // What was not answered by now counts as not attained: it is missing in the tally.
        } catch (java.util.concurrent.ExecutionException failure) {
            throw new IllegalStateException("a caller of the bench failed", failure);
        }
    }

    private void traceRun(Tally tally, Moves moves, PrintWriter trace) {
        trace.println("  " + policy.name() + " seed " + seed + ": " + tally.counts() + " " + moves);
        tally.failures().entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder()))
                .limit(TOP_FAILURES)
                .forEach(failure -> trace.println("    " + failure.getValue() + " x " + failure.getKey()));
        trace.flush();
    }

    private RunResult result(
            LocalDeployment deployment, List<Arrival> arrivals, Tally tally, Moves moves, long latestSendMillis) {
        Tally.Counts counts = tally.counts();
        long plainSent =
                arrivals.stream().filter(arrival -> arrival.call().isPresent()).count();
        LoadPace.Stats models = store(deployment).models();
        LoadPace.Stats adapters = store(deployment).adapters();
        double faultSeconds = Fault.BEGIN * seconds;
        double endSeconds = Fault.END * seconds;
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
                mostRuns(deployment),
                tally.shareBefore(faultSeconds),
                tally.share((int) Math.ceil(endSeconds), seconds),
                tally.recoverSeconds(faultSeconds, endSeconds),
                models.maxInFlight(),
                adapters.maxInFlight(),
                models.overLimit() + adapters.overLimit(),
                memories(deployment).mapToLong(EngineMemory.Stats::overcommits).sum(),
                latestSendMillis,
                tally.shareBySecond());
    }

    private static io.waxwingquay.standin.WeightStoreStandin.Stats store(LocalDeployment deployment) {
        return deployment.targets().weightStores().values().iterator().next().stats();
    }

    private static int mostRuns(LocalDeployment deployment) {
        Map<String, Integer> all = new java.util.HashMap<>();
        deployment.targets().plainServices().values().forEach(plain -> plain.stats()
                .runsByKey()
                .forEach((key, runs) -> all.merge(key, runs, Integer::sum)));
        return all.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    private static int accelerators(Bundle bundle) {
        return bundle.services().stream()
                .filter(service -> service.kind() == Bundle.Kind.MODEL)
                .mapToInt(service -> service.replicas() * service.accelerators())
                .sum();
    }

    private static java.util.stream.Stream<EngineMemory.Stats> memories(LocalDeployment deployment) {
        return deployment.targets().engines().values().stream()
                .map(ModelEngineStandin::stats)
                .map(ModelEngineStandin.Stats::memory);
    }

    /** Moves of a deployment so far, models and adapters apart. */
    private record Moves(long modelLoads, long modelEvictions, long adapterLoads, long adapterEvictions) {

        static Moves of(LocalDeployment deployment) {
            return memories(deployment)
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

        long all() {
            return models() + adapters();
        }
    }
}
