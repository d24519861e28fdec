package io.waxwingquay.bench;

import io.waxwingquay.bench.Caller.Completion;
import io.waxwingquay.bench.Caller.ServiceCall;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Tamworth Quench Analytics: summaries in bursts when a forge's shift ends, fault flags, overnight batch reviews,
 * questions to the furnace models, and batch releases to sign.
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
    private static final double QUIET_PER_SECOND = 3;
    private static final double FLAGS_PER_SECOND = 8;
    private static final double REVIEWS_PER_SECOND = 5;
    private static final double QUESTIONS_PER_SECOND = 20;
    private static final double RELEASES_PER_SECOND = 5;
    private static final int SURGE = 10;
    private static final Shape SUMMARY = new Shape(24, 90, 2_500L);
    private static final Shape FLAG = new Shape(8, 100, 800L);
    private static final Shape REVIEW = new Shape(64, 10, 15_000L);
    private static final Shape QUESTION = new Shape(24, 50, 3_000L);
    private static final long RELEASE_MILLIS = 2_000L;

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
        ArrivalStream stream = new ArrivalStream(random, seconds);
        List<Arrival> all = new ArrayList<>();
        all.addAll(stream.draw(
                BURST_PER_SECOND, Tamworth::summaryRate, at -> ask(random, at, "cycle-summary", forge(at), SUMMARY)));
        all.addAll(stream.draw(
                FLAGS_PER_SECOND, at -> FLAGS_PER_SECOND, at -> ask(random, at, "fault-flag", anyForge(random), FLAG)));
        all.addAll(stream.draw(
                REVIEWS_PER_SECOND,
                at -> REVIEWS_PER_SECOND,
                at -> ask(random, at, random.nextBoolean() ? "batch-review" : "morning-digest", "", REVIEW)));
        FURNACE_MODELS.forEach(model -> all.addAll(questions(random, stream, model, surge)));
        all.addAll(stream.draw(RELEASES_PER_SECOND, at -> RELEASES_PER_SECOND, at -> release(random, at)));
        all.sort(Comparator.comparingLong(Arrival::atMicros));
        return all;
    }

    private static List<Arrival> questions(RandomGenerator random, ArrivalStream stream, String model, Surge surge) {
        double perSecond = QUESTIONS_PER_SECOND / FURNACE_MODELS.size();
        return stream.draw(
                SURGE * perSecond,
                at -> perSecond * surge.factor(model, at),
                at -> ask(random, at, model, random.nextBoolean() ? anyForge(random) : "", QUESTION));
    }

    private static double summaryRate(double atSeconds) {
        return atSeconds % SHIFT_SECONDS < BURST_SECONDS ? BURST_PER_SECOND : QUIET_PER_SECOND;
    }

    /** Each shift ends at another forge. */
    private static String forge(long atMicros) {
        return "forge-0" + ((long) (atMicros / 1e6 / SHIFT_SECONDS) % FORGES + 1);
    }

    /** Three forges have an adapter for each model; the fourth only for some. */
    private static String anyForge(RandomGenerator random) {
        return "forge-0" + (random.nextInt(FORGES - 1) + 1);
    }

    private static Arrival ask(RandomGenerator random, long at, String model, String adapter, Shape shape) {
        String furnace = "furnace-" + random.nextInt(FURNACES);
        return Arrival.of(
                at,
                new Completion(
                        model,
                        Optional.of(adapter).filter(name -> !name.isEmpty()),
                        Prompts.sharing(model + "-" + furnace, at),
                        shape.tokens(),
                        shape.priority(),
                        shape.deadlineMillis()));
    }

    private static Arrival release(RandomGenerator random, long at) {
        Optional<String> key = Optional.of("release-" + at + "-" + random.nextInt(Integer.MAX_VALUE));
        return Arrival.of(
                at, new ServiceCall("batch-record", "sign-release", key, "{\"batch\":" + at + "}", RELEASE_MILLIS));
    }

    private record Shape(int tokens, int priority, long deadlineMillis) {}
}
