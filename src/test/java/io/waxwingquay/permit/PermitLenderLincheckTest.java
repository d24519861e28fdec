package io.waxwingquay.permit;

import io.waxwingquay.common.Clock;
import io.waxwingquay.permit.Permits.Limit;
import io.waxwingquay.transport.generated.PermitRequest;
import io.waxwingquay.transport.generated.PermitReturn;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Checks that concurrent calls of a lender are linearizable. */
@Param(name = "permit", gen = IntGen.class, conf = "1:3")
public class PermitLenderLincheckTest {

    private static final long LEASE_MILLIS = 10;

    private final PermitLender lender = lenderPastFirstLease();

    @Operation
    public boolean borrow(@Param(name = "permit") int permit) {
        return lender.borrow(new PermitRequest(Limit.ADAPTER_LOADS.name(), "holder", "permit-" + permit, LEASE_MILLIS))
                .isGranted();
    }

    @Operation
    public boolean returnPermit(@Param(name = "permit") int permit) {
        return lender.returnPermit(new PermitReturn(Limit.ADAPTER_LOADS.name(), "permit-" + permit));
    }

    @Test
    void callsAreLinearizable() {
        new StressOptions()
                .iterations(20)
                .invocationsPerIteration(500)
                .threads(3)
                .actorsPerThread(3)
                .check(PermitLenderLincheckTest.class);
    }

    private static PermitLender lenderPastFirstLease() {
        long[] nowMillis = {0};
        Clock clock = new Clock() {
            @Override
            public long monotonicMillis() {
                return nowMillis[0];
            }

            @Override
            public long epochMillis() {
                return nowMillis[0];
            }
        };
        PermitLender lender =
                new PermitLender(clock, LEASE_MILLIS, LEASE_MILLIS, new PermitLender.Slots(0, 1, 0, 0, 2));
        nowMillis[0] = LEASE_MILLIS;
        lender.heartbeat();
        return lender;
    }
}
