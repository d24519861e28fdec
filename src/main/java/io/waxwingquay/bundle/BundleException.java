package io.waxwingquay.bundle;

import io.waxwingquay.settings.Problem;
import io.waxwingquay.settings.SettingsException;
import java.util.List;

/**
 * Thrown when a bundle can't be read, verified or fetched.
 */
public class BundleException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception with a cause.
     *
     * @param message what failed, with the name of the element.
     * @param cause the underlying failure, or {@code null}.
     */
    public BundleException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Thrown when a document is not a valid bundle. */
    public static final class Invalid extends BundleException {

        private static final long serialVersionUID = 1L;

        private final transient List<Problem> problems;

        /**
         * Creates an exception for an invalid document.
         *
         * @param cause the exception of the parser, which lists all problems.
         */
        public Invalid(SettingsException cause) {
            super(cause.getMessage(), cause);
            this.problems = cause.problems();
        }

        /**
         * Lists the problems of the document.
         *
         * @return all problems.
         */
        public List<Problem> problems() {
            return problems;
        }
    }

    /** Thrown when a bundle's bytes don't carry a valid signature by a trusted key. */
    public static final class Untrusted extends BundleException {

        private static final long serialVersionUID = 1L;

        /**
         * Creates an exception for an untrusted bundle.
         *
         * @param message why the bundle isn't trusted.
         */
        public Untrusted(String message) {
            super(message, null);
        }
    }

    /** Thrown when neither the platform nor a peer could provide a bundle. */
    public static final class Unreachable extends BundleException {

        private static final long serialVersionUID = 1L;

        /**
         * Creates an exception for an unreachable bundle.
         *
         * @param message what could not be reached.
         * @param cause the underlying failure, or {@code null}.
         */
        public Unreachable(String message, Throwable cause) {
            super(message, cause);
        }
    }
}
