package io.waxwingquay.membership;

import io.waxwingquay.common.HostPort;

/** Told when a peer has a higher bundle version than this process. */
@FunctionalInterface
public interface BundleVersionListener {

    /**
     * A peer has a higher version; called at each contact until this process has it too.
     *
     * @param version the peer's version.
     * @param from whom to fetch it from.
     */
    void onHigherVersion(long version, HostPort from);
}
