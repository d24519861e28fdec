package io.waxwingquay.bench;

import io.waxwingquay.bench.Caller.Completion;
import io.waxwingquay.bench.Caller.ServiceCall;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Workload of Claywheel Commons: completions of studio models, many with adapters, whose total rate peaks late in the
 * run while the most requested studios change, and deposits and reservations at a plain service.
 */
final class Claywheel implements Workload {

    private static final List<String> STUDIOS = List.of(
            "kingston",
            "mandeville",
            "ochi",
            "portland",
            "negril",
            "spanish-town",
            "treasure",
            "falmouth",
            "port-royal",
            "mona");
    private static final List<Subject> SUBJECTS = List.of(
            new Subject("throwing", 0.45, 28, 50, 3_000L),
            new Subject("glazing", 0.35, 24, 40, 3_000L),
            new Subject("booking", 0.20, 12, 90, 1_500L));
    private static final double BASE_PER_SECOND = 70;
    private static final double PEAK_PER_SECOND = 110;
    private static final double PEAK_PROGRESS = 0.65;
    private static final double HOT_STUDIO_WEIGHT = 10;
    private static final double HOT_STUDIO_WIDTH = 0.8;
    private static final double HOT_STUDIO_SHIFT = 3;
    private static final double DEPOSITS_PER_SECOND = 6;
    private static final double RESERVATIONS_PER_SECOND = 6;
    private static final double MAX_SURGE_FACTOR = 10;
    private static final int ADAPTERS = 3;
    private static final int PROMPT_CLASSES = 4;
    private static final double ADAPTER_SHARE = 0.6;
    private static final long PLAIN_DEADLINE_MILLIS = 2_000L;

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "claywheel";
    }

    /** {@inheritDoc} */
    @Override
    public String bundleFile() {
        return "claywheel.toml";
    }

    /** {@inheritDoc} */
    @Override
    public String surgingModel() {
        return "mona-glazing";
    }

    /** {@inheritDoc} */
    @Override
    public List<Arrival> arrivals(RandomGenerator random, double seconds, Surge surge) {
        ArrivalGenerator generator = new ArrivalGenerator(random, seconds);
        List<Arrival> arrivals = new ArrayList<>();
        int hottestStudio = random.nextInt(STUDIOS.size());
        for (int number = 0; number < STUDIOS.size(); number++) {
            int distance = Math.floorMod(number - hottestStudio, STUDIOS.size());
            for (Subject subject : SUBJECTS) {
                String model = STUDIOS.get(number) + "-" + subject.name();
                arrivals.addAll(generator.generate(
                        MAX_SURGE_FACTOR * PEAK_PER_SECOND * subject.share(),
                        atSeconds -> subject.share()
                                * studioRate(distance, atSeconds / seconds)
                                * surge.factor(model, atSeconds),
                        atMicros -> completion(random, atMicros, model, subject)));
            }
        }
        arrivals.addAll(serviceCalls(random, generator, "pay-deposit", DEPOSITS_PER_SECOND));
        arrivals.addAll(serviceCalls(random, generator, "reserve-seat", RESERVATIONS_PER_SECOND));
        arrivals.sort(Comparator.comparingLong(Arrival::atMicros));
        return arrivals;
    }

    private static double studioRate(int distance, double progress) {
        double sum = 0;
        for (int other = 0; other < STUDIOS.size(); other++) {
            sum += popularity(other, progress);
        }
        return totalRate(progress) * popularity(distance, progress) / sum;
    }

    private static double totalRate(double progress) {
        double closenessToPeak =
                progress < PEAK_PROGRESS ? progress / PEAK_PROGRESS : (1 - progress) / (1 - PEAK_PROGRESS);
        return BASE_PER_SECOND + (PEAK_PER_SECOND - BASE_PER_SECOND) * closenessToPeak;
    }

    /** Returns the relative demand for a studio. Its peak moves from one studio to the next as the run progresses. */
    private static double popularity(int distance, double progress) {
        double offset = (distance - HOT_STUDIO_SHIFT * progress) / HOT_STUDIO_WIDTH;
        return 1 + HOT_STUDIO_WEIGHT * Math.exp(-offset * offset / 2);
    }

    private static Arrival completion(RandomGenerator random, long atMicros, String model, Subject subject) {
        Optional<String> adapter = random.nextDouble() < ADAPTER_SHARE
                ? Optional.of("studio-voice-0" + (random.nextInt(ADAPTERS) + 1))
                : Optional.empty();
        String prompt = Prompts.withSharedPrefix(model + "-class-" + random.nextInt(PROMPT_CLASSES), atMicros);
        return Arrival.of(
                atMicros,
                new Completion(model, adapter, prompt, subject.tokens(), subject.priority(), subject.deadlineMillis()));
    }

    private static List<Arrival> serviceCalls(
            RandomGenerator random, ArrivalGenerator generator, String operation, double perSecond) {
        return generator.generate(perSecond, atSeconds -> perSecond, atMicros -> {
            Optional<String> key = Optional.of(operation + "-" + atMicros + "-" + random.nextInt(Integer.MAX_VALUE));
            return Arrival.of(
                    atMicros,
                    new ServiceCall(
                            "booking-payment", operation, key, "{\"at\":" + atMicros + "}", PLAIN_DEADLINE_MILLIS));
        });
    }

    private record Subject(String name, double share, int tokens, int priority, long deadlineMillis) {}
}
