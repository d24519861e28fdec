package io.waxwingquay.permit;

import io.waxwingquay.transport.generated.PermitRequest;
import io.waxwingquay.transport.generated.PermitReturn;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

/**
 * Baseline: a replica uses only the slots assigned to it and borrows from no other. Where there are more replicas than
 * slots, most replicas may never load.
 */
public final class StaticShares implements Permits {

    private final PermitLender lender;
    private final long leaseMillis;

    /**
     * Creates permits from the slots of one lender.
     *
     * @param lender this replica's own lender.
     * @param leaseMillis the lease requested, longer than any load.
     */
    public StaticShares(PermitLender lender, long leaseMillis) {
        this.lender = lender;
        this.leaseMillis = leaseMillis;
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Optional<Permit>> acquire(Limit limit) {
        String permitId = UUID.randomUUID().toString();
        boolean isGranted = lender.borrow(new PermitRequest(limit.name(), "static", permitId, leaseMillis))
                .isGranted();
        Permit permit = () -> lender.returnPermit(new PermitReturn(limit.name(), permitId));
        return CompletableFuture.completedFuture(Optional.of(permit).filter(ignored -> isGranted));
    }
}
