package io.waxwingquay.common;

/**
 * The network address of a process.
 *
 * @param host the IP address.
 * @param port the port.
 */
public record HostPort(String host, int port) {

    /**
     * Parses {@code host:port}.
     *
     * @param text the text.
     * @return the address.
     * @throws IllegalArgumentException if the text is not {@code host:port}.
     */
    public static HostPort of(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException(
                    "address '" + text + "' is not host:port; write for example 10.0.0.7:9000");
        }
        try {
            return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException failure) {
            throw new IllegalArgumentException("port in address '" + text + "' is not a number", failure);
        }
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
