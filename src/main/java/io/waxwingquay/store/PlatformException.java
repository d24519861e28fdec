package io.waxwingquay.store;

/**
 * A failed call to a platform service.
 */
public class PlatformException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what failed, naming the service and its address.
     * @param cause the underlying failure, or {@code null}.
     */
    public PlatformException(String message, Throwable cause) {
        super(message, cause);
    }

    /**
     * The service gave no valid answer, so a write may or may not have taken effect.
     */
    public static final class Unavailable extends PlatformException {

        private static final long serialVersionUID = 1L;

        /**
         * Creates an exception.
         *
         * @param message what failed, naming the service and its address.
         * @param cause the underlying failure, or {@code null}.
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
         * Creates an exception.
         *
         * @param message what was refused, naming the service and its address.
         */
        public Refused(String message) {
            super(message, null);
        }
    }
}
