package io.waxwingquay.bench;

import io.waxwingquay.bench.Caller.Completion;
import io.waxwingquay.bench.Caller.ServiceCall;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Claywheel Commons: an evening peak that comes late in the run and whose studios change while it lasts, guidance
 * with adapters, bookings and deposits.
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
    private static final double EARLY_PER_SECOND = 70;
    private static final double PEAK_PER_SECOND = 110;
    private static final double PEAK_AT = 0.65;
    private static final double HOT_WEIGHT = 10;
    private static final double HOT_WIDTH = 0.8;
    private static final double HOT_STUDIOS_PASSED = 3;
    private static final double DEPOSITS_PER_SECOND = 6;
    private static final double RESERVATIONS_PER_SECOND = 6;
    private static final double SURGE = 10;
    private static final int VOICES = 3;
    private static final int CLASSES = 4;
    private static final double ADAPTER_SHARE = 0.6;
    private static final long PLAIN_MILLIS = 2_000L;

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
        ArrivalStream stream = new ArrivalStream(random, seconds);
        List<Arrival> all = new ArrayList<>();
        int first = random.nextInt(STUDIOS.size());
        for (int number = 0; number < STUDIOS.size(); number++) {
            int distance = Math.floorMod(number - first, STUDIOS.size());
            for (Subject subject : SUBJECTS) {
                String model = STUDIOS.get(number) + "-" + subject.name();
                all.addAll(stream.draw(
                        SURGE * PEAK_PER_SECOND * subject.share(),
                        at -> subject.share() * studioRate(distance, at / seconds) * surge.factor(model, at),
                        at -> ask(random, at, model, subject)));
            }
        }
        all.addAll(plain(random, stream, "pay-deposit", DEPOSITS_PER_SECOND));
        all.addAll(plain(random, stream, "reserve-seat", RESERVATIONS_PER_SECOND));
        all.sort(Comparator.comparingLong(Arrival::atMicros));
        return all;
    }

    private static double studioRate(int distance, double progress) {
        double sum = 0;
        for (int other = 0; other < STUDIOS.size(); other++) {
            sum += weight(other, progress);
        }
        return totalRate(progress) * weight(distance, progress) / sum;
    }

    private static double totalRate(double progress) {
        double nearness = progress < PEAK_AT ? progress / PEAK_AT : (1 - progress) / (1 - PEAK_AT);
        return EARLY_PER_SECOND + (PEAK_PER_SECOND - EARLY_PER_SECOND) * nearness;
    }

    /** The hot studios drift: the peak of demand passes from one to the next. */
    private static double weight(int distance, double progress) {
        double away = (distance - HOT_STUDIOS_PASSED * progress) / HOT_WIDTH;
        return 1 + HOT_WEIGHT * Math.exp(-away * away / 2);
    }

    private static Arrival ask(RandomGenerator random, long at, String model, Subject subject) {
        Optional<String> adapter = random.nextDouble() < ADAPTER_SHARE
                ? Optional.of("studio-voice-0" + (random.nextInt(VOICES) + 1))
                : Optional.empty();
        String prompt = Prompts.sharing(model + "-class-" + random.nextInt(CLASSES), at);
        return Arrival.of(
                at,
                new Completion(model, adapter, prompt, subject.tokens(), subject.priority(), subject.deadlineMillis()));
    }

    private static List<Arrival> plain(
            RandomGenerator random, ArrivalStream stream, String operation, double perSecond) {
        return stream.draw(perSecond, at -> perSecond, at -> {
            Optional<String> key = Optional.of(operation + "-" + at + "-" + random.nextInt(Integer.MAX_VALUE));
            return Arrival.of(
                    at, new ServiceCall("booking-payment", operation, key, "{\"at\":" + at + "}", PLAIN_MILLIS));
        });
    }

    private record Subject(String name, double share, int tokens, int priority, long deadlineMillis) {}
}
