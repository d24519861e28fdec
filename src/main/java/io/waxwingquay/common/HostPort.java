package io.waxwingquay.common;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The network address of a process.
 *
 * @param host the IP address.
 * @param port the port.
 */
public record HostPort(String host, int port) {

    private static final int MAX_PORT = 65_535;

    private static final Pattern IPV4 =
            Pattern.compile("(?:(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)\\.){3}(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)");

    /**
     * Parses {@code host:port}.
     *
     * @param text the text.
     * @return the address.
     * @throws IllegalArgumentException if the text is not {@code host:port}, or the port is above 65535.
     */
    public static HostPort of(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException(
                    "address '" + text + "' is not host:port; write for example 10.0.0.7:9000");
        }
        int port;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException failure) {
            throw new IllegalArgumentException("port in address '" + text + "' is not a number", failure);
        }
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("port in address '" + text + "' is not between 0 and " + MAX_PORT);
        }
        return new HostPort(text.substring(0, colon), port);
    }

    /**
     * Parses the address of a peer that another process states. It needs no name lookup, which would block the event loop.
     *
     * @param text the text.
     * @return the address; empty if it is not an IPv4 address with a port from 1 on.
     */
    public static Optional<HostPort> ofNumeric(String text) {
        try {
            return Optional.of(of(text)).filter(address -> address.port > 0 && address.isNumeric());
        } catch (IllegalArgumentException failure) {
            return Optional.empty();
        }
    }

    private boolean isNumeric() {
        return IPV4.matcher(host).matches();
    }

    /**
     * Returns the address to connect to, without a name lookup.
     *
     * @return the address; unresolved, so that a connection to it fails, if the host is not an IPv4 address.
     */
    public InetSocketAddress toSocketAddress() {
        if (!isNumeric()) {
            return InetSocketAddress.createUnresolved(host, port);
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (UnknownHostException failure) {
            throw new IllegalStateException("an IPv4 address needs no lookup: " + host, failure);
        }
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
