package io.waxwingquay.permit;

import io.waxwingquay.transport.generated.PermitRequest;
import io.waxwingquay.transport.generated.PermitReturn;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

/**
 * The baseline: a replica uses only the slots homed on it and never asks another. Where there are more replicas
 * than slots, most replicas may never load.
 */
public final class StaticShares implements Permits {

    private final PermitLender lender;
    private final long leaseMillis;

    /**
     * Uses the slots of one home.
     *
     * @param lender this replica's home.
     * @param leaseMillis the lease taken, longer than any load.
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
