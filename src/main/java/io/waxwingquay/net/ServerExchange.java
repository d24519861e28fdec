package io.waxwingquay.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpFields;

/**
 * One request of a caller and the way back to it. Whatever is sent after the caller has gone is dropped.
 */
public final class ServerExchange {

    private static final byte[] LAST_CHUNK = {'0', '\r', '\n', '\r', '\n'};

    private final ServerConnection connection;
    private final ServerRequest request;
    private final boolean persistent;
    private Runnable onDisconnect = () -> {};
    private State state = State.WAITING;

    ServerExchange(ServerConnection connection, ServerRequest request, boolean persistent) {
        this.connection = connection;
        this.request = request;
        this.persistent = persistent;
    }

    /**
     * The request.
     *
     * @return the whole request.
     */
    public ServerRequest request() {
        return request;
    }

    /**
     * Sets what is done when the caller closes before its answer is complete.
     *
     * @param action called at most once, on the loop.
     */
    public void onDisconnect(Runnable action) {
        this.onDisconnect = action;
    }

    /**
     * Whether nothing of an answer has been sent yet.
     *
     * @return whether a whole answer can still be sent.
     */
    public boolean isUnanswered() {
        return state == State.WAITING;
    }

    /**
     * Sends a whole answer.
     *
     * @param status the status.
     * @param fields header fields; the framing is added.
     * @param body the body.
     */
    public void respond(int status, HttpFields fields, byte[] body) {
        if (state != State.WAITING) {
            return;
        }
        state = State.ENDED;
        boolean closesConnection = closesConnection();
        ByteBuffer buffer = startHead(status, fields, body.length);
        MessageHead.put(buffer, "Content-Length: " + body.length + "\r\n");
        finishHead(buffer, closesConnection);
        if (body.length <= buffer.remaining() && !isHeadRequest()) {
            buffer.put(body);
            connection.send(buffer.flip());
        } else {
            connection.send(buffer.flip());
            connection.send(ByteBuffer.wrap(isHeadRequest() ? new byte[0] : body));
        }
        connection.onResponseComplete(closesConnection);
    }

    /**
     * Sends an answer of this process.
     *
     * @param status the status.
     * @param fields header fields.
     * @param text the body, a sentence.
     */
    public void respond(int status, HttpFields fields, String text) {
        HttpFields.Mutable all = HttpFields.build(fields).put("Content-Type", "text/plain;charset=utf-8");
        respond(status, all, text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Begins an answer whose length is not known.
     *
     * @param status the status.
     * @param fields header fields; the framing is added.
     */
    public void begin(int status, HttpFields fields) {
        if (state != State.WAITING) {
            return;
        }
        state = State.STREAMING;
        ByteBuffer buffer = startHead(status, fields, 0);
        MessageHead.put(buffer, "Transfer-Encoding: chunked\r\n");
        finishHead(buffer, closesConnection());
        connection.send(buffer.flip());
    }

    /**
     * Sends a part of an answer that was begun.
     *
     * @param bytes the part; taken in before this returns.
     */
    public void write(ByteBuffer bytes) {
        if (state != State.STREAMING || !bytes.hasRemaining()) {
            return;
        }
        ByteBuffer buffer = connection.responseBuffer(bytes.remaining());
        MessageHead.put(buffer, Integer.toHexString(bytes.remaining()) + "\r\n");
        buffer.put(bytes);
        MessageHead.putEnd(buffer);
        connection.send(buffer.flip());
    }

    /** Ends an answer that was begun, as a complete one. */
    public void finish() {
        if (state != State.STREAMING) {
            return;
        }
        state = State.ENDED;
        connection.send(ByteBuffer.wrap(LAST_CHUNK));
        connection.onResponseComplete(closesConnection());
    }

    /** Closes the connection, so that the answer can't be taken for a complete one. */
    public void abort() {
        if (state != State.ENDED) {
            state = State.ENDED;
            connection.close();
        }
    }

    /**
     * What the caller has not taken yet.
     *
     * @return bytes that wait here.
     */
    public long unsentBytes() {
        return connection.unsentBytes();
    }

    void disconnected() {
        if (state != State.ENDED) {
            state = State.ENDED;
            onDisconnect.run();
        }
    }

    private boolean isHeadRequest() {
        return "HEAD".equals(request.method());
    }

    private boolean closesConnection() {
        return !persistent || connection.isDraining();
    }

    private ByteBuffer startHead(int status, HttpFields fields, int bodyBytes) {
        int requiredBytes = fields.stream()
                        .mapToInt(field -> field.getName().length()
                                + String.valueOf(field.getValue()).length()
                                + 4)
                        .sum()
                + bodyBytes;
        ByteBuffer buffer = connection.responseBuffer(requiredBytes);
        MessageHead.putStatusLine(buffer, status);
        MessageHead.putFields(buffer, fields);
        return buffer;
    }

    private static void finishHead(ByteBuffer buffer, boolean closesConnection) {
        if (closesConnection) {
            MessageHead.put(buffer, "Connection: close\r\n");
        }
        MessageHead.putEnd(buffer);
    }

    private enum State {
        WAITING,
        STREAMING,
        ENDED
    }
}
