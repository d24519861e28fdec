package io.waxwingquay.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;

/**
 * Sends datagrams. Delivery is not guaranteed; senders resend what must arrive.
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
     * @param target the address of the receiver.
     * @param payload the content of the datagram.
     */
    public void send(InetSocketAddress target, byte[] payload) {
        try {
            channel.send(ByteBuffer.wrap(payload), target);
        } catch (IOException failure) {
            // An unreachable network needs no handling here: the next datagram repeats the content.
            LOG.log(System.Logger.Level.DEBUG, "net: a datagram to {0} was not sent: {1}", target, failure);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException failure) {
            LOG.log(System.Logger.Level.DEBUG, "net: closing a datagram socket failed: {0}", failure);
        }
    }
}
