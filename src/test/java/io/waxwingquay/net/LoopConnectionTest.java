package io.waxwingquay.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LoopConnectionTest {

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final String REQUEST = "POST / HTTP/1.1\r\nHost: x.test\r\nContent-Length: 1\r\n\r\nx";
    private static final int ANSWER_BYTES = 2;

    private EventLoop loop;

    @BeforeEach
    void start() {
        loop = EventLoop.start("test");
    }

    @AfterEach
    void stop() {
        loop.close();
    }

    // Guards against a second, empty read for each event of a stream, a third of the system calls that an event costs.
    @Test
    void shortReadIsNotFollowedByAnother() {
        CountingChannel channel = new CountingChannel(10);
        new DiscardingConnection(channel, loop).onFillable();
        assertEquals(1, channel.reads);
    }

    // Guards against input that stays unread in the channel when it filled the buffer to the last byte.
    @Test
    void fullReadIsFollowedByAnother() {
        int capacity = loop.inputBuffer().capacity();
        CountingChannel channel = new CountingChannel(capacity + 10);
        new DiscardingConnection(channel, loop).onFillable();
        assertEquals(0, channel.remaining);
        assertEquals(2, channel.reads);
    }

    // A request that must not run twice is sent over a connection that is read first. Guards against that read
    // overwriting what the caller sent behind its request: the next request would get no response.
    @Test
    void readOfAnotherConnectionKeepsPipelinedInput() throws Exception {
        ClientPool pool =
                new ClientPool(loop, listen((caller, body) -> caller.respond(200, HttpFields.EMPTY, body)), 4);
        InetSocketAddress front = listen((caller, body) -> pool.send(
                new ClientRequest("POST", "/", HttpFields.build().put("Host", "x.test"), body, false),
                new CompletionListener(() -> caller.respond(200, HttpFields.EMPTY, new byte[ANSWER_BYTES]))));
        try (Socket socket = new Socket(front.getAddress(), front.getPort())) {
            socket.setSoTimeout(30_000);
            write(socket, REQUEST);
            readAnswer(socket);
            write(socket, REQUEST + REQUEST);
            readAnswer(socket);
            readAnswer(socket);
        }
    }

    private InetSocketAddress listen(Handler handler) {
        HttpServer server = HttpServer.listen(
                loop,
                ANY_PORT,
                caller -> handler.handle(caller, caller.request().body()));
        int port = loop.listen(ANY_PORT, endPoint -> new ServerConnection(endPoint, loop, server));
        return new InetSocketAddress(ANY_PORT.getAddress(), port);
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private static void readAnswer(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
        assertEquals(ANSWER_BYTES, in.readNBytes(ANSWER_BYTES).length);
    }

    private interface Handler {

        void handle(ServerExchange caller, byte[] body);
    }

    private record CompletionListener(Runnable onCompletion) implements ClientListener {

        @Override
        public void onHead(int status, HttpFields fields) {
            assertEquals(200, status);
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        public void onComplete() {
            onCompletion.run();
        }

        @Override
        public void onFailure(boolean sent, String why) {
            throw new IllegalStateException(why);
        }
    }

    /** Holds bytes to be read, and counts the reads. */
    private static final class CountingChannel implements ReadableByteChannel {

        private int remaining;
        private int reads;

        private CountingChannel(int bytes) {
            this.remaining = bytes;
        }

        @Override
        public int read(ByteBuffer target) {
            reads++;
            int count = Math.min(remaining, target.remaining());
            target.position(target.position() + count);
            remaining -= count;
            return count;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void close() {
            // nothing to release
        }
    }

    private static final class DiscardingConnection extends LoopConnection {

        private DiscardingConnection(CountingChannel channel, EventLoop loop) {
            super(new ChannelEndPoint(channel), loop);
        }

        @Override
        void onInput(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        void onInputEnd(Throwable cause) {
            // no further input
        }
    }

    private static final class ChannelEndPoint extends ByteArrayEndPoint {

        private final CountingChannel channel;

        private ChannelEndPoint(CountingChannel channel) {
            this.channel = channel;
        }

        @Override
        public Object getTransport() {
            return channel;
        }
    }
}
