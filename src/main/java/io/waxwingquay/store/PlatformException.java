package io.waxwingquay.store;

/**
 * A failure of the platform's services.
 */
public class PlatformException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * A failure with its cause.
     *
     * @param message what failed, naming the service and the element.
     * @param cause the failure below, or {@code null}.
     */
    public PlatformException(String message, Throwable cause) {
        super(message, cause);
    }

    /**
     * The service did not answer, so a write may or may not have taken effect.
     */
    public static final class Unavailable extends PlatformException {

        private static final long serialVersionUID = 1L;

        /**
         * An unavailable service.
         *
         * @param message what failed, naming the service and the element.
         * @param cause the failure below, or {@code null}.
         */
        public Unavailable(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /**
     * The service refused the call before it took effect.
     */
    public static final class Refused extends PlatformException {

        private static final long serialVersionUID = 1L;

        /**
         * A refused call.
         *
         * @param message what was refused, naming the service and the element.
         */
        public Refused(String message) {
            super(message, null);
        }
    }
}
