package io.waxwingquay.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/**
 * A request from a caller together with its response. Output after the caller has disconnected is discarded.
 */
public final class ServerExchange {

    private static final byte[] LAST_CHUNK = {'0', '\r', '\n', '\r', '\n'};

    private final ServerConnection connection;
    private final ServerRequest request;
    private final boolean persistent;
    private final BufferBudget.Holding requestHolding;
    private Runnable onDisconnect = () -> {};
    private State state = State.WAITING;
    private boolean closeAnnounced;
    private boolean requestRetained;

    ServerExchange(ServerConnection connection, ServerRequest request, boolean persistent) {
        this.connection = connection;
        this.request = request;
        this.persistent = persistent;
        this.requestHolding = connection.budget().open();
        this.requestHolding.set(request.body().length);
    }

    /**
     * Returns the request.
     *
     * @return the complete request.
     */
    public ServerRequest request() {
        return request;
    }

    /**
     * Sets the action for a caller that disconnects before its response is complete.
     *
     * @param action called at most once, on the loop.
     */
    public void onDisconnect(Runnable action) {
        this.onDisconnect = action;
    }

    /**
     * Returns whether no response has been started.
     *
     * @return whether a complete response can still be sent.
     */
    public boolean isUnanswered() {
        return state == State.WAITING;
    }

    /**
     * Sends a complete response.
     *
     * @param status the HTTP status.
     * @param fields the header fields, without framing, which is added.
     * @param body the body.
     */
    public void respond(int status, HttpFields fields, byte[] body) {
        if (state != State.WAITING) {
            return;
        }
        end();
        closeAnnounced = !persistent || !connection.staysOpen();
        ByteBuffer buffer = startHead(status, fields, body.length);
        MessageHead.put(buffer, "Content-Length: " + body.length + "\r\n");
        finishHead(buffer);
        if (body.length <= buffer.remaining() && !isHeadRequest()) {
            buffer.put(body);
            connection.send(buffer.flip());
        } else {
            connection.send(buffer.flip());
            connection.send(ByteBuffer.wrap(isHeadRequest() ? new byte[0] : body));
        }
        connection.onResponseComplete(closeAnnounced);
    }

    /**
     * Sends a complete response with a plain-text body.
     *
     * @param status the HTTP status.
     * @param fields the header fields.
     * @param text the body.
     */
    public void respond(int status, HttpFields fields, String text) {
        HttpFields.Mutable all = HttpFields.build(fields).put("Content-Type", "text/plain;charset=utf-8");
        respond(status, all, text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Starts a chunked response whose length is not known.
     *
     * @param status the HTTP status.
     * @param fields the header fields, without framing, which is added.
     */
    public void begin(int status, HttpFields fields) {
        if (state != State.WAITING) {
            return;
        }
        state = State.STREAMING;
        ByteBuffer buffer = startHead(status, fields, 0);
        MessageHead.put(buffer, "Transfer-Encoding: chunked\r\n");
        closeAnnounced = !persistent || !connection.staysOpen();
        finishHead(buffer);
        connection.send(buffer.flip());
    }

    /**
     * Starts a response with neither a length nor chunks, whose end is the end of its connection.
     *
     * @param status the HTTP status.
     * @param fields the header fields.
     */
    public void beginUntilClose(int status, HttpFields fields) {
        if (state != State.WAITING) {
            return;
        }
        state = State.STREAMING_UNTIL_CLOSE;
        ByteBuffer buffer = startHead(status, fields, 0);
        closeAnnounced = true;
        finishHead(buffer);
        connection.send(buffer.flip());
    }

    /**
     * Sends a part of the body of a response that was started.
     *
     * @param bytes the part; consumed before this method returns.
     */
    public void write(ByteBuffer bytes) {
        if (state == State.STREAMING_UNTIL_CLOSE) {
            connection.send(bytes);
            return;
        }
        if (state != State.STREAMING || !bytes.hasRemaining()) {
            return;
        }
        ByteBuffer buffer = connection.responseBuffer(bytes.remaining());
        MessageHead.put(buffer, Integer.toHexString(bytes.remaining()) + "\r\n");
        buffer.put(bytes);
        MessageHead.putEnd(buffer);
        connection.send(buffer.flip());
    }

    /** Ends a response that was started as a complete one. */
    public void finish() {
        if (state == State.STREAMING_UNTIL_CLOSE) {
            end();
            connection.onResponseComplete(true);
            return;
        }
        if (state != State.STREAMING) {
            return;
        }
        end();
        connection.send(ByteBuffer.wrap(LAST_CHUNK));
        connection.onResponseComplete(closeAnnounced || connection.isDraining());
    }

    /** Closes the connection, so that the response can't be mistaken for a complete one. */
    public void abort() {
        if (state != State.ENDED) {
            end();
            connection.close();
        }
    }

    /**
     * Returns how much of the response the caller has not accepted yet.
     *
     * @return the number of queued bytes.
     */
    public long unsentBytes() {
        return connection.unsentBytes();
    }

    /**
     * Sets where the parts of the response come from, which is paused while too much waits for slow callers.
     *
     * @param source the source, instead of the one before.
     */
    public void source(PausableSource source) {
        if (state != State.ENDED) {
            connection.buffers().source(Optional.of(source));
        }
    }

    /**
     * Returns whether the connection was closed because the caller reads too slowly while too much waits for slow
     * callers.
     *
     * @return whether the caller was cut off.
     */
    public boolean isCutOff() {
        return connection.buffers().isCutOff();
    }

    /**
     * Opens a holding for bytes that are held for this request elsewhere.
     *
     * @return a holding of 0 bytes.
     */
    public BufferBudget.Holding openHolding() {
        return connection.budget().open();
    }

    /**
     * Makes room for bytes that are to be held for this request, at the expense of callers that read slowly.
     *
     * @param bytes the number of further bytes.
     * @return whether the budget has room for them.
     */
    public boolean makeRoom(long bytes) {
        return connection.makeRoom(bytes);
    }

    /** Has the request's body counted until {@link #releaseRequest}, as it is still used after the caller has left. */
    public void retainRequest() {
        requestRetained = true;
    }

    /** Notes that the request's body is not used any more. */
    public void releaseRequest() {
        requestHolding.close();
    }

    void disconnected() {
        if (state != State.ENDED) {
            state = State.ENDED;
            onDisconnect.run();
            if (!requestRetained) {
                releaseRequest();
            }
        }
    }

    private void end() {
        state = State.ENDED;
        releaseRequest();
    }

    private boolean isHeadRequest() {
        return "HEAD".equals(request.method());
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

    private void finishHead(ByteBuffer buffer) {
        if (closeAnnounced) {
            MessageHead.put(buffer, "Connection: close\r\n");
        }
        MessageHead.putEnd(buffer);
    }

    private enum State {
        WAITING,
        STREAMING,
        STREAMING_UNTIL_CLOSE,
        ENDED
    }
}
