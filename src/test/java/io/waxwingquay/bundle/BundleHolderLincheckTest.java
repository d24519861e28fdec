package io.waxwingquay.bundle;

import java.util.List;
import java.util.stream.LongStream;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** The platform's answer and several peers' answers offer bundles to one holder at the same time. */
@Param(name = "version", gen = IntGen.class, conf = "1:4")
public class BundleHolderLincheckTest {

    private static final Operator OPERATOR = new Operator();
    private static final List<SignedBundle> BUNDLES =
            LongStream.rangeClosed(1, 4).mapToObj(OPERATOR::bundle).toList();

    private final BundleHolder holder = new BundleHolder(OPERATOR.root());

    @Operation
    public boolean adopt(@Param(name = "version") int version) {
        return holder.adopt(List.of(BUNDLES.get(version - 1)));
    }

    @Operation
    public long version() {
        return holder.version();
    }

    @Test
    void adoptionsAreLinearizable() {
        new StressOptions()
                .iterations(4)
                .invocationsPerIteration(30)
                .threads(3)
                .actorsPerThread(2)
                .check(getClass());
    }
}
