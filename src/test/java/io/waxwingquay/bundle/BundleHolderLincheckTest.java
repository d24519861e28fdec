package io.waxwingquay.bundle;

import java.util.List;
import java.util.stream.LongStream;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Checks that concurrent adoptions of bundles from the platform and from peers are linearizable. */
@Param(name = "version", gen = IntGen.class, conf = "1:3")
public class BundleHolderLincheckTest {

    private static final Operator OPERATOR = new Operator();
    private static final List<SignedBundle> BUNDLES =
            LongStream.rangeClosed(1, 3).mapToObj(OPERATOR::bundle).toList();

    private final BundleHolder holder = new BundleHolder(OPERATOR.root());

    @Operation
    public boolean adopt(@Param(name = "version") int version) {
        return holder.adopt(List.of(BUNDLES.get(version - 1)));
    }

    @Operation
    public long version() {
        return holder.version();
    }

    // Operations before the parallel part could adopt the highest version already, and nothing would race.
    @Test
    void adoptionsAreLinearizable() {
        new StressOptions()
                .iterations(6)
                .invocationsPerIteration(40)
                .threads(2)
                .actorsBefore(0)
                .actorsPerThread(2)
                .actorsAfter(1)
                .check(getClass());
    }
}
