package io.waxwingquay.claim;

import java.util.List;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Checks that no interleaving loses an item, returns it twice or puts two batches in flight. */
public class BatchQueueLincheckTest {

    private final BatchQueue<Integer> queue = new BatchQueue<>(2, item -> Integer.toString(item % 3));

    @Operation
    public List<Integer> add(@Param(gen = IntGen.class) int item) {
        return queue.add(item);
    }

    @Operation
    public List<Integer> finished() {
        return queue.completeBatch();
    }

    @Test
    void isLinearizable() {
        new StressOptions()
                .iterations(10)
                .invocationsPerIteration(500)
                .threads(2)
                .actorsPerThread(3)
                .check(BatchQueueLincheckTest.class);
    }
}
