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

/** Sends and receives datagrams between processes of the system. All methods run on the event loop. */
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
     * @param loop the event loop that runs the channel.
     * @param address the address to receive datagrams on.
     * @param listener notified of each datagram.
     */
    public PeerChannel(EventLoop loop, HostPort address, Listener listener) {
        this.listener = listener;
        try {
            this.serializer = new TSerializer(new TCompactProtocol.Factory());
            this.deserializer = new TDeserializer(new TCompactProtocol.Factory());
        } catch (TTransportException failure) {
            throw new IllegalStateException("cannot create the datagram codec", failure);
        }
        this.socket = loop.openDatagramSocket(new InetSocketAddress(address.host(), address.port()), this::receive);
    }

    /**
     * Sends a datagram.
     *
     * @param destination the address to send it to.
     * @param datagram the datagram.
     */
    public void send(HostPort destination, PeerDatagram datagram) {
        send(destination, encode(datagram));
    }

    /**
     * Sends a datagram that was encoded once for many destinations.
     *
     * @param destination the address to send it to.
     * @param encoded the encoded datagram.
     */
    public void send(HostPort destination, byte[] encoded) {
        InetSocketAddress address = addresses.computeIfAbsent(destination, HostPort::toSocketAddress);
        if (!address.isUnresolved()) {
            socket.send(address, encoded);
        }
    }

    /**
     * Encodes a datagram.
     *
     * @param datagram the datagram.
     * @return the encoded bytes.
     */
    public byte[] encode(PeerDatagram datagram) {
        try {
            return serializer.serialize(datagram);
        } catch (TException failure) {
            throw new IllegalArgumentException("cannot encode the datagram", failure);
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
            LOG.log(
                    System.Logger.Level.WARNING,
                    "peer: malformed datagram discarded sender={0} cause={1}",
                    sender,
                    failure);
            return;
        }
        if (datagram.isSet()) {
            listener.received(new HostPort(sender.getAddress().getHostAddress(), sender.getPort()), datagram);
        }
    }

    /** Receives datagrams. */
    @FunctionalInterface
    public interface Listener {

        /**
         * Handles a received datagram.
         *
         * @param sender the address of the sender.
         * @param datagram the datagram.
         */
        void received(HostPort sender, PeerDatagram datagram);
    }
}
