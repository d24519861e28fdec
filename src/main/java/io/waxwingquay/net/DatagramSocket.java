package io.waxwingquay.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;

/**
 * Sends datagrams. They may be lost, so whoever sends says again what matters.
 */
public final class DatagramSocket implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("waxwingquay.net");

    private final DatagramChannel channel;

    DatagramSocket(DatagramChannel channel) {
        this.channel = channel;
    }

    /**
     * Sends one datagram.
     *
     * @param target where to.
     * @param payload what.
     */
    public void send(InetSocketAddress target, byte[] payload) {
        try {
            channel.send(ByteBuffer.wrap(payload), target);
        } catch (IOException failure) {
            // A route that is down is no news here: the next datagram says the same again.
            LOG.log(System.Logger.Level.DEBUG, "net: a datagram to {0} was not sent: {1}", target, failure);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException failure) {
            LOG.log(System.Logger.Level.DEBUG, "net: a datagram socket did not close: {0}", failure);
        }
    }
}
