package io.waxwingquay.entry;

import io.waxwingquay.bundle.BundleSource;
import io.waxwingquay.common.DrainGate;
import io.waxwingquay.membership.Membership;
import io.waxwingquay.membership.Side;
import java.util.Optional;

/**
 * Whether an entry process should get callers: it has a bundle, has known a side that accepts work, and is not draining.
 *
 * <p>An entry that has known a side stays ready when the sides go. All entries lose them at about the same time, and
 * taking all out of rotation would help no caller.
 */
final class Readiness {

    private final BundleSource bundles;
    private final Membership membership;
    private final DrainGate gate;
    private volatile boolean sideKnown;

    Readiness(BundleSource bundles, Membership membership, DrainGate gate) {
        this.bundles = bundles;
        this.membership = membership;
        this.gate = gate;
    }

    /** Returns why the entry is not ready, or empty if it is ready. */
    Optional<String> notReadyReason() {
        if (gate.isClosed()) {
            return Optional.of("draining");
        }
        if (bundles.current().isEmpty()) {
            return Optional.of("no bundle in force yet");
        }
        sideKnown = sideKnown || membership.sides().stream().anyMatch(Side::acceptsWork);
        return sideKnown ? Optional.empty() : Optional.of("no side known yet that accepts work");
    }
}
