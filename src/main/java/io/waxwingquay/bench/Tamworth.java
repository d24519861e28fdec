package io.waxwingquay.bench;

import io.waxwingquay.bench.Caller.Completion;
import io.waxwingquay.bench.Caller.ServiceCall;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Workload of Tamworth Quench Analytics: bursts of summaries when the shift of a forge ends, fault flags, overnight
 * batch reviews, questions to the furnace models, and batch releases at a plain service.
 */
final class Tamworth implements Workload {

    private static final List<String> FURNACE_MODELS = List.of(
            "soak-temper",
            "quench-crack",
            "carburise-depth",
            "nitride-layer",
            "anneal-ramp",
            "harden-curve",
            "gear-batch",
            "forge-batch",
            "shift-report",
            "furnace-drift",
            "thermocouple-check",
            "atmosphere-check",
            "distortion-risk");
    private static final int FORGES = 4;
    private static final int FURNACES = 12;
    private static final double SHIFT_SECONDS = 6;
    private static final double BURST_SECONDS = 2;
    private static final double BURST_PER_SECOND = 45;
    private static final double BASE_PER_SECOND = 3;
    private static final double FLAGS_PER_SECOND = 8;
    private static final double REVIEWS_PER_SECOND = 5;
    private static final double QUESTIONS_PER_SECOND = 20;
    private static final double RELEASES_PER_SECOND = 5;
    private static final int MAX_SURGE_FACTOR = 10;
    private static final RequestShape SUMMARY = new RequestShape(24, 90, 2_500L);
    private static final RequestShape FLAG = new RequestShape(8, 100, 800L);
    private static final RequestShape REVIEW = new RequestShape(64, 10, 15_000L);
    private static final RequestShape QUESTION = new RequestShape(24, 50, 3_000L);
    private static final long RELEASE_DEADLINE_MILLIS = 2_000L;

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "tamworth";
    }

    /** {@inheritDoc} */
    @Override
    public String bundleFile() {
        return "tamworth.toml";
    }

    /** {@inheritDoc} */
    @Override
    public String surgingModel() {
        return "quench-crack";
    }

    /** {@inheritDoc} */
    @Override
    public List<Arrival> arrivals(RandomGenerator random, double seconds, Surge surge) {
        ArrivalGenerator generator = new ArrivalGenerator(random, seconds);
        List<Arrival> arrivals = new ArrayList<>();
        arrivals.addAll(generator.generate(
                BURST_PER_SECOND,
                Tamworth::summaryRate,
                atMicros -> completion(random, atMicros, "cycle-summary", shiftEndForge(atMicros), SUMMARY)));
        arrivals.addAll(generator.generate(
                FLAGS_PER_SECOND,
                atSeconds -> FLAGS_PER_SECOND,
                atMicros -> completion(random, atMicros, "fault-flag", randomForge(random), FLAG)));
        arrivals.addAll(generator.generate(
                REVIEWS_PER_SECOND,
                atSeconds -> REVIEWS_PER_SECOND,
                atMicros -> completion(
                        random, atMicros, random.nextBoolean() ? "batch-review" : "morning-digest", "", REVIEW)));
        FURNACE_MODELS.forEach(model -> arrivals.addAll(questions(random, generator, model, surge)));
        arrivals.addAll(generator.generate(
                RELEASES_PER_SECOND, atSeconds -> RELEASES_PER_SECOND, atMicros -> release(random, atMicros)));
        arrivals.sort(Comparator.comparingLong(Arrival::atMicros));
        return arrivals;
    }

    private static List<Arrival> questions(
            RandomGenerator random, ArrivalGenerator generator, String model, Surge surge) {
        double perSecond = QUESTIONS_PER_SECOND / FURNACE_MODELS.size();
        return generator.generate(
                MAX_SURGE_FACTOR * perSecond,
                atSeconds -> perSecond * surge.factor(model, atSeconds),
                atMicros ->
                        completion(random, atMicros, model, random.nextBoolean() ? randomForge(random) : "", QUESTION));
    }

    private static double summaryRate(double atSeconds) {
        return atSeconds % SHIFT_SECONDS < BURST_SECONDS ? BURST_PER_SECOND : BASE_PER_SECOND;
    }

    /** Returns the forge whose shift ends: a different one at each end of a shift. */
    private static String shiftEndForge(long atMicros) {
        return "forge-0" + ((long) (atMicros / 1e6 / SHIFT_SECONDS) % FORGES + 1);
    }

    /** Chooses one of the three forges that have an adapter for every model; the fourth lacks some. */
    private static String randomForge(RandomGenerator random) {
        return "forge-0" + (random.nextInt(FORGES - 1) + 1);
    }

    private static Arrival completion(
            RandomGenerator random, long atMicros, String model, String adapter, RequestShape shape) {
        String furnace = "furnace-" + random.nextInt(FURNACES);
        return Arrival.of(
                atMicros,
                new Completion(
                        model,
                        Optional.of(adapter).filter(name -> !name.isEmpty()),
                        Prompts.withSharedPrefix(model + "-" + furnace, atMicros),
                        shape.tokens(),
                        shape.priority(),
                        shape.deadlineMillis()));
    }

    private static Arrival release(RandomGenerator random, long atMicros) {
        Optional<String> key = Optional.of("release-" + atMicros + "-" + random.nextInt(Integer.MAX_VALUE));
        return Arrival.of(
                atMicros,
                new ServiceCall(
                        "batch-record", "sign-release", key, "{\"batch\":" + atMicros + "}", RELEASE_DEADLINE_MILLIS));
    }

    private record RequestShape(int tokens, int priority, long deadlineMillis) {}
}
