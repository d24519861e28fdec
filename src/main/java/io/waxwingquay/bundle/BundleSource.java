package io.waxwingquay.bundle;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Provides the bundle in force in this process. Only a higher version replaces it.
 */
public interface BundleSource {

    /**
     * Returns the bundle in force.
     *
     * @return the bundle, or empty if none has been verified yet; until then the process is not ready.
     */
    Optional<Bundle> current();

    /**
     * Registers a listener that is called with each newly adopted bundle, in order of version.
     *
     * @param listener the listener.
     */
    void onAdopted(Consumer<Bundle> listener);
}
