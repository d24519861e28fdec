package io.waxwingquay.entry;

import io.waxwingquay.claim.ClaimRecord;
import io.waxwingquay.claim.ClaimStore;
import io.waxwingquay.common.DrainGate;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Records the outcomes of claims in the background. A call that ran is answered at once, even while the table service
 * is unavailable. Until its outcome is recorded, a resend learns it from the side process.
 */
final class OutcomeWriter {

    private static final System.Logger LOG = System.getLogger("waxwingquay.entry");
    private static final int MAXIMUM_ATTEMPTS = 8;
    private static final int MAXIMUM_PENDING = 4_096;

    private final EntryComponents components;
    private final ClaimStore claimStore;
    private final DrainGate gate;
    private final AtomicInteger pending = new AtomicInteger();

    OutcomeWriter(EntryComponents components, ClaimStore claimStore, DrainGate gate) {
        this.components = components;
        this.claimStore = claimStore;
        this.gate = gate;
    }

    int pending() {
        return pending.get();
    }

    /**
     * Starts to record an outcome. The future never fails.
     *
     * @param rowKey the key of the claim's row.
     * @param version the expected version of the row.
     * @param record the claim with its outcome.
     * @return a future that completes when the outcome is recorded or dropped.
     */
    CompletableFuture<Void> record(String rowKey, long version, ClaimRecord record) {
        CompletableFuture<Void> completion = new CompletableFuture<>();
        if (pending.incrementAndGet() > MAXIMUM_PENDING) {
            pending.decrementAndGet();
            components.metrics().claim("outcome_dropped");
            completion.complete(null);
            return completion;
        }
        gate.hold();
        completion.whenComplete((done, failure) -> {
            pending.decrementAndGet();
            gate.leave();
        });
        write(rowKey, version, record, 1, completion);
        return completion;
    }

    private void write(
            String rowKey, long version, ClaimRecord record, int attemptNumber, CompletableFuture<Void> completion) {
        claimStore
                .replace(rowKey, version, record)
                .whenCompleteAsync(
                        (claimed, failure) -> {
                            boolean retry = failure != null || isStillClaimed(claimed, record);
                            if (!retry) {
                                components.metrics().claim(claimed.ours() ? "recorded" : "superseded");
                                completion.complete(null);
                            } else if (attemptNumber >= MAXIMUM_ATTEMPTS) {
                                LOG.log(System.Logger.Level.WARNING, "entry: outcome of {0} was not recorded.", rowKey);
                                components.metrics().claim("outcome_dropped");
                                completion.complete(null);
                            } else {
                                long expectedVersion = failure == null ? claimed.version() : version;
                                long delayMillis = components.backoff().delayMillis(attemptNumber, components.random());
                                components
                                        .executor()
                                        .schedule(
                                                () -> write(
                                                        rowKey, expectedVersion, record, attemptNumber + 1, completion),
                                                delayMillis,
                                                TimeUnit.MILLISECONDS);
                            }
                        },
                        components.executor());
    }

    private static boolean isStillClaimed(ClaimStore.StoredClaim claimed, ClaimRecord record) {
        return !claimed.ours()
                && claimed.record().attemptId().equals(record.attemptId())
                && claimed.record().state() == ClaimRecord.State.CLAIMED;
    }
}
