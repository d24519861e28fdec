package io.waxwingquay.command;

import io.waxwingquay.store.ObjectStore;
import io.waxwingquay.store.TableService;
import java.net.URI;

/**
 * Opens clients of the platform's services for a command.
 */
@FunctionalInterface
public interface PlatformFactory {

    /**
     * Opens the clients.
     *
     * @param url where the platform answers.
     * @return the clients.
     */
    Platform open(URI url);

    /** Clients of the platform, closed after the command. */
    interface Platform extends AutoCloseable {

        /**
         * The table service.
         *
         * @return the client.
         */
        TableService table();

        /**
         * The object store.
         *
         * @return the client.
         */
        ObjectStore objects();

        /** {@inheritDoc} */
        @Override
        void close();
    }
}
