package io.waxwingquay.bundle;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * The bundle in force in this process. It only ever moves to a higher version.
 */
public interface BundleSource {

    /**
     * The bundle in force.
     *
     * @return the bundle, or empty if none has been verified yet; the process is then not ready.
     */
    Optional<Bundle> current();

    /**
     * Registers a listener that is called with each newly adopted bundle, in order of version.
     *
     * @param listener the listener.
     */
    void onAdopted(Consumer<Bundle> listener);
}
