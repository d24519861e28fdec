package io.waxwingquay.membership;

import io.waxwingquay.common.HostPort;

/** Notified when a peer has a higher bundle version than this process. */
@FunctionalInterface
public interface BundleVersionListener {

    /**
     * Handles a peer's higher version. Called at each contact until this process has that version too.
     *
     * @param version the peer's version.
     * @param from the address to fetch it from.
     */
    void onHigherVersion(long version, HostPort from);
}
