package io.waxwingquay.net;

import io.waxwingquay.common.CallbackGuard;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.function.BiConsumer;
import org.eclipse.jetty.io.EndPoint;

/** Reads datagrams and passes each to a receiver. */
final class DatagramReader extends LoopConnection {

    private static final System.Logger LOG = System.getLogger("waxwingquay.net");

    private final DatagramChannel channel;
    private final BiConsumer<InetSocketAddress, ByteBuffer> receiver;

    DatagramReader(
            EndPoint endPoint,
            EventLoop loop,
            DatagramChannel channel,
            BiConsumer<InetSocketAddress, ByteBuffer> receiver) {
        super(endPoint, loop);
        this.channel = channel;
        this.receiver = receiver;
    }

    /** {@inheritDoc} */
    @Override
    public void onFillable() {
        ByteBuffer buffer = loop().inputBuffer();
        InetSocketAddress sender = receive(buffer);
        while (sender != null) {
            deliver(sender, buffer);
            sender = receive(buffer);
        }
        awaitInput();
    }

    private void deliver(InetSocketAddress sender, ByteBuffer buffer) {
        try {
            receiver.accept(sender, buffer);
        } catch (RuntimeException failure) {
            CallbackGuard.noteFailure();
            LOG.log(System.Logger.Level.WARNING, "net: a datagram from {0} can't be processed: {1}", sender, failure);
        }
    }

    private InetSocketAddress receive(ByteBuffer buffer) {
        buffer.clear();
        try {
            InetSocketAddress sender = (InetSocketAddress) channel.receive(buffer);
            buffer.flip();
            return sender;
        } catch (IOException failure) {
            LOG.log(System.Logger.Level.DEBUG, "net: receiving a datagram failed: {0}", failure);
            return null;
        }
    }

    @Override
    void onInput(ByteBuffer bytes) {
        throw new IllegalStateException("datagrams are not read as a byte stream");
    }

    @Override
    void onInputEnd(Throwable cause) {
        close();
    }
}
