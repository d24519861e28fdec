package io.waxwingquay.bundle;

import io.waxwingquay.settings.Problem;
import io.waxwingquay.settings.SettingsException;
import java.util.List;

/**
 * Thrown when an operation on a bundle or its keys fails.
 */
public class BundleException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception with a cause.
     *
     * @param message what failed, naming the bundle, key, row or file if there is one.
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

    /** Thrown when a bundle fails a signature, hash, version or key check. */
    public static final class Untrusted extends BundleException {

        private static final long serialVersionUID = 1L;

        /**
         * Creates an exception for a bundle that failed a check.
         *
         * @param message which check failed.
         */
        public Untrusted(String message) {
            super(message, null);
        }
    }

    /**
     * Thrown when a call to the platform fails or is refused, or when a document is missing from the object store. A
     * write that was not answered may still take effect.
     */
    public static final class Unreachable extends BundleException {

        private static final long serialVersionUID = 1L;

        /**
         * Creates an exception for a failed call or a missing document.
         *
         * @param message which call failed, or which document is missing.
         * @param cause the failure of the call, or {@code null} for a missing document.
         */
        public Unreachable(String message, Throwable cause) {
            super(message, cause);
        }
    }
}
