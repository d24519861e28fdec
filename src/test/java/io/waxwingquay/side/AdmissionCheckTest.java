package io.waxwingquay.side;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.side.AdmissionCheck.Inputs;
import io.waxwingquay.suspect.SuspectRegistry.Standing;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.ModelCall;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.ServiceCall;
import io.waxwingquay.transport.generated.Submission;
import org.junit.jupiter.api.Test;

class AdmissionCheckTest {

    private static final long EPOCH = 7;

    // Guards against a request that crashes further targets, because its caller is asked to retry: an entry that does
    // not
    // know of the quarantine learns of it from this side alone, whose target has just crashed.
    @Test
    void quarantineIsReportedWhileTheTargetIsNotReady() {
        assertEquals(RefusalReason.QUARANTINED, reason(model(), Standing.QUARANTINED, false, false));
        assertEquals(RefusalReason.QUARANTINED, reason(model(), Standing.QUARANTINED, true, false));
        assertEquals(RefusalReason.QUARANTINED, reason(model(), Standing.QUARANTINED, false, true));
    }

    @Test
    void suspectIsRejectedLikeOthersWhileTheTargetIsNotReady() {
        assertEquals(RefusalReason.NOT_READY, reason(model(), Standing.SUSPECT, false, false));
        assertEquals(RefusalReason.LEAVING, reason(model(), Standing.SUSPECT, true, false));
    }

    // Guards against "did not run" about a non-idempotent call that may have run, because its request is quarantined.
    @Test
    void expiredAttemptStaysUnknownInQuarantine() {
        AdmissionCheck.Rejection rejection = AdmissionCheck.check(
                        inputs(Standing.QUARANTINED, false, true), nonIdempotent(EPOCH, 0))
                .orElseThrow();
        assertEquals(RefusalReason.EXPIRED_ATTEMPT, rejection.reason());
        assertEquals(Execution.UNKNOWN, rejection.execution());
    }

    private static RefusalReason reason(Submission submission, Standing standing, boolean leaving, boolean ready) {
        return AdmissionCheck.check(inputs(standing, leaving, ready), submission)
                .orElseThrow()
                .reason();
    }

    private static Submission model() {
        return new Submission().setServiceName("s").setModel(new ModelCall()).setBudgetMillis(1_000);
    }

    private static Submission nonIdempotent(long epoch, long issuedAtEpochMillis) {
        return new Submission()
                .setServiceName("s")
                .setPlain(new ServiceCall().setNonIdempotent(true))
                .setSideEpoch(epoch)
                .setIssuedAtEpochMillis(issuedAtEpochMillis)
                .setBudgetMillis(1_000);
    }

    private static Inputs inputs(Standing standing, boolean leaving, boolean ready) {
        return new Inputs(
                leaving, ready, "s", EPOCH, 1, standing, false, true, 0, 0, 0, 4, 4, 0, 0, AdmissionRule.WAIT_ONLY);
    }
}
