package io.waxwingquay.manifest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.AbstractList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class EngineTest {

    private static final int MODELS = 100;

    private final CountedModels countedModels = new CountedModels();
    private final Engine engine = new Engine(8, 1_000, 200, 2, 1, countedModels);

    // A side evaluates each model against each engine ten times a second. With 102 models and 39 engines, scanning all
    // models for each question took 0.2 s of processor time a second in each idle process.
    @Test
    void lookupsDoNotScanAllModels() {
        long before = countedModels.reads;
        IntStream.range(0, MODELS).forEach(each -> {
            assertEquals(each, engine.modelWeightsMegabytes("m" + each));
            assertTrue(engine.model("m" + each).isPresent());
            assertEquals(200 - 2 * 3.0, engine.modelMemoryMegabytes());
            engine.digest();
        });
        assertEquals(before, countedModels.reads);
    }

    @Test
    void unofferedModelOccupiesAllMemory() {
        assertEquals(200, engine.modelWeightsMegabytes("other"));
        assertTrue(engine.model("other").isEmpty());
    }

    @Test
    void digestDistinguishesConfigurations() {
        assertEquals(engine.digest(), new Engine(8, 1_000, 200, 2, 1, List.copyOf(countedModels)).digest());
        assertNotEquals(engine.digest(), new Engine(9, 1_000, 200, 2, 1, countedModels).digest());
        assertEquals(engine, new Engine(8, 1_000, 200, 2, 1, countedModels));
        assertNotEquals(engine, new Engine(8, 1_000, 200, 2, 1, List.of()));
    }

    private static final class CountedModels extends AbstractList<Engine.Model> {

        private long reads;

        /** {@inheritDoc} */
        @Override
        public Engine.Model get(int index) {
            reads++;
            return new Engine.Model("m" + index, index, 6_000, 1_300, 600, 3);
        }

        /** {@inheritDoc} */
        @Override
        public int size() {
            return MODELS;
        }
    }
}
