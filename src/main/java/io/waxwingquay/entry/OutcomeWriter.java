package io.waxwingquay.entry;

import io.waxwingquay.claim.ClaimRecord;
import io.waxwingquay.claim.ClaimStore;
import io.waxwingquay.common.DrainGate;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Records outcomes of claims behind the caller's back. A call that ran is answered at once, also while the
 * table service is out; until the outcome is recorded, a resend learns it from the side process.
 */
final class OutcomeWriter {

    private static final System.Logger LOG = System.getLogger("waxwingquay.entry");
    private static final int MAXIMUM_TRIES = 8;
    private static final int MAXIMUM_PENDING = 4_096;

    private final EntryParts parts;
    private final ClaimStore store;
    private final DrainGate gate;
    private final AtomicInteger pending = new AtomicInteger();

    OutcomeWriter(EntryParts parts, ClaimStore store, DrainGate gate) {
        this.parts = parts;
        this.store = store;
        this.gate = gate;
    }

    int pending() {
        return pending.get();
    }

    /**
     * Starts to record; never fails the caller.
     *
     * @param rowKey the claim's row.
     * @param version the row's version.
     * @param record the claim with its outcome.
     * @return completes when recorded or given up.
     */
    CompletableFuture<Void> record(String rowKey, long version, ClaimRecord record) {
        CompletableFuture<Void> over = new CompletableFuture<>();
        if (pending.incrementAndGet() > MAXIMUM_PENDING) {
            pending.decrementAndGet();
            parts.metrics().claim("outcome_dropped");
            over.complete(null);
            return over;
        }
        gate.hold();
        over.whenComplete((done, failure) -> {
            pending.decrementAndGet();
            gate.leave();
        });
        write(rowKey, version, record, 1, over);
        return over;
    }

    private void write(String rowKey, long version, ClaimRecord record, int tryNumber, CompletableFuture<Void> over) {
        store.replace(rowKey, version, record)
                .whenCompleteAsync(
                        (claimed, failure) -> {
                            boolean again = failure != null || isStillOpen(claimed, record);
                            if (!again) {
                                parts.metrics().claim(claimed.ours() ? "recorded" : "superseded");
                                over.complete(null);
                            } else if (tryNumber >= MAXIMUM_TRIES) {
                                LOG.log(System.Logger.Level.WARNING, "entry: outcome of {0} was not recorded.", rowKey);
                                parts.metrics().claim("outcome_dropped");
                                over.complete(null);
                            } else {
                                long next = failure == null ? claimed.version() : version;
                                long delayMillis = parts.backoff().delayMillis(tryNumber, parts.random());
                                parts.executor()
                                        .schedule(
                                                () -> write(rowKey, next, record, tryNumber + 1, over),
                                                delayMillis,
                                                TimeUnit.MILLISECONDS);
                            }
                        },
                        parts.executor());
    }

    private static boolean isStillOpen(ClaimStore.StoredClaim claimed, ClaimRecord record) {
        return !claimed.ours()
                && claimed.record().attemptId().equals(record.attemptId())
                && claimed.record().state() == ClaimRecord.State.CLAIMED;
    }
}
