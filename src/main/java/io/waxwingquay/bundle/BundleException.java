package io.waxwingquay.bundle;

import io.waxwingquay.settings.Problem;
import io.waxwingquay.settings.SettingsException;
import java.util.List;

/**
 * A failure to read, verify or fetch a bundle.
 */
public class BundleException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * A failure with its cause.
     *
     * @param message what failed, naming the element.
     * @param cause the failure below, or {@code null}.
     */
    public BundleException(String message, Throwable cause) {
        super(message, cause);
    }

    /** The document is no valid bundle. */
    public static final class Invalid extends BundleException {

        private static final long serialVersionUID = 1L;

        private final transient List<Problem> problems;

        /**
         * An invalid document.
         *
         * @param cause the refusal of the reader, which lists all problems.
         */
        public Invalid(SettingsException cause) {
            super(cause.getMessage(), cause);
            this.problems = cause.problems();
        }

        /**
         * Lists what is wrong.
         *
         * @return every problem.
         */
        public List<Problem> problems() {
            return problems;
        }
    }

    /** The signature is not that of a trusted key over these exact bytes. */
    public static final class Untrusted extends BundleException {

        private static final long serialVersionUID = 1L;

        /**
         * An untrusted bundle.
         *
         * @param message why it isn't trusted.
         */
        public Untrusted(String message) {
            super(message, null);
        }
    }

    /** The platform or the peers could not give the bundle. */
    public static final class Unreachable extends BundleException {

        private static final long serialVersionUID = 1L;

        /**
         * An unreachable bundle.
         *
         * @param message what was not reached.
         * @param cause the failure below, or {@code null}.
         */
        public Unreachable(String message, Throwable cause) {
            super(message, cause);
        }
    }
}
