package io.waxwingquay.peer;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.net.DatagramSocket;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.transport.generated.PeerDatagram;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TTransportException;

/** Sends and receives datagrams of our own processes; all on the loop. */
public final class PeerChannel implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("waxwingquay.peer");

    private final DatagramSocket socket;
    private final Listener listener;
    private final TSerializer serializer;
    private final TDeserializer deserializer;
    private final Map<HostPort, InetSocketAddress> addresses = new HashMap<>();

    /**
     * Opens the channel.
     *
     * @param loop where everything runs.
     * @param address where datagrams are taken.
     * @param listener told of each datagram.
     */
    public PeerChannel(EventLoop loop, HostPort address, Listener listener) {
        this.listener = listener;
        try {
            this.serializer = new TSerializer(new TCompactProtocol.Factory());
            this.deserializer = new TDeserializer(new TCompactProtocol.Factory());
        } catch (TTransportException failure) {
            throw new IllegalStateException("the codec of datagrams can't be made", failure);
        }
        this.socket = loop.datagrams(new InetSocketAddress(address.host(), address.port()), this::receive);
    }

    /**
     * Sends a datagram.
     *
     * @param destination where to.
     * @param datagram what.
     */
    public void send(HostPort destination, PeerDatagram datagram) {
        send(destination, encode(datagram));
    }

    /**
     * Sends a datagram that was encoded once for many.
     *
     * @param destination where to.
     * @param encoded the bytes.
     */
    public void send(HostPort destination, byte[] encoded) {
        InetSocketAddress address =
                addresses.computeIfAbsent(destination, each -> new InetSocketAddress(each.host(), each.port()));
        socket.send(address, encoded);
    }

    /**
     * Encodes a datagram.
     *
     * @param datagram what.
     * @return its bytes.
     */
    public byte[] encode(PeerDatagram datagram) {
        try {
            return serializer.serialize(datagram);
        } catch (TException failure) {
            throw new IllegalArgumentException("a datagram can't be encoded", failure);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        socket.close();
    }

    private void receive(InetSocketAddress sender, ByteBuffer bytes) {
        byte[] payload = new byte[bytes.remaining()];
        bytes.get(payload);
        PeerDatagram datagram = new PeerDatagram();
        try {
            deserializer.deserialize(datagram, payload);
        } catch (TException failure) {
            LOG.log(System.Logger.Level.WARNING, "peer: datagram passed over sender={0} cause={1}", sender, failure);
            return;
        }
        if (datagram.isSet()) {
            listener.received(new HostPort(sender.getAddress().getHostAddress(), sender.getPort()), datagram);
        }
    }

    /** Takes datagrams. */
    @FunctionalInterface
    public interface Listener {

        /**
         * A datagram has come.
         *
         * @param sender who sent it.
         * @param datagram what it says.
         */
        void received(HostPort sender, PeerDatagram datagram);
    }
}
