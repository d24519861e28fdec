package io.waxwingquay.command;

import io.waxwingquay.store.ObjectStore;
import io.waxwingquay.store.TableService;
import java.net.URI;

/**
 * Opens clients of the platform's services.
 */
@FunctionalInterface
public interface PlatformFactory {

    /**
     * Opens the clients.
     *
     * @param url the URL of the platform.
     * @return the clients.
     */
    Platform open(URI url);

    /** Clients of the platform, closed when the command ends. */
    interface Platform extends AutoCloseable {

        /**
         * Returns the client of the table service.
         *
         * @return the client.
         */
        TableService table();

        /**
         * Returns the client of the object store.
         *
         * @return the client.
         */
        ObjectStore objects();

        /** {@inheritDoc} */
        @Override
        void close();
    }
}
