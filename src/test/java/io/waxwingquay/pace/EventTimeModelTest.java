package io.waxwingquay.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class EventTimeModelTest {

    private final EventTimeModel model = new EventTimeModel();
    private final Random random = new Random(7);

    @Test
    void beginsFromThePrior() {
        assertEquals(50.0, model.eventMillis(24));
        assertEquals(1 / 38.0, model.tokenMillis());
    }

    // Guards against one far sample, as of a preempted stream, that spoils what was learned.
    @Test
    void singleOutlierMovesTheEventTimeLittle() {
        learn(60, 45);
        double beforeMillis = model.eventMillis(8);
        model.learn(new EventSample(1_500, 8, 200));
        assertEquals(beforeMillis, model.eventMillis(8), 0.15 * beforeMillis);
    }

    // Guards against taking a lasting change for outliers.
    @Test
    void lastingChangeIsLearnedWithinSixSamples() {
        learn(60, 45);
        learn(6, 135);
        assertEquals(135 + 0.4 * 8, model.eventMillis(8), 25);
    }

    // Guards against values without meaning from samples that contradict each other.
    @Test
    void valuesStayBounded() {
        for (int number = 0; number < 200; number++) {
            double sign = number % 3 - 1;
            model.learn(new EventSample(sign * 1e12, 24, 1e9));
            model.learn(new EventSample(Double.NaN, 1, 0));
            model.learn(new EventSample(0.001, number % 24, 1e6));
        }
        assertTrue(model.eventMillis(0) >= 1 && model.eventMillis(0) <= 2_000);
        assertTrue(model.eventMillis(1) >= model.eventMillis(0));
        assertTrue(model.tokenMillis() >= 1 / 400.0 && model.tokenMillis() <= 0.5);
    }

    private void learn(int samples, double baseMillis) {
        for (int number = 0; number < samples; number++) {
            double batch = 4 + random.nextInt(17);
            double tokens = random.nextInt(1_000);
            double noise = 1 + 0.05 * random.nextGaussian();
            model.learn(new EventSample((baseMillis + 0.4 * batch + tokens / 38) * noise, batch, tokens));
        }
    }
}
