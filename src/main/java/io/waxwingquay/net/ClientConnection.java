package io.waxwingquay.net;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;

/** A connection to another server that carries one request at a time. */
final class ClientConnection extends LoopConnection implements HttpParser.ResponseHandler {

    private static final int MAX_HEAD_BYTES = 32_768;
    /**
     * The most bytes of a response between two bytes of its body: heads with those of interim responses, chunk sizes and
     * their extensions, trailers. Failure: a faulty server sends them without end, and the parser limits one head only.
     * Symptom: the connection and the loop are busy until the caller gives up. Whatever the bytes are, they are counted here.
     */
    private static final int MAX_BYTES_WITHOUT_BODY = 65_536;

    private static final int OUTPUT_SLACK_BYTES = 256;
    /** Longer bodies are not copied while the server is slow to accept them, as their callers' copies are kept anyway. */
    private static final int MAX_COPIED_BODY_BYTES = 32_768;

    private static final int FIRST_FINAL_STATUS = 200;

    /** Safety margin before the peer's own idle timeout, within which the connection is not reused. */
    private static final long IDLE_MARGIN_MILLIS = 700L;

    /** Assumed idle timeout of a peer that does not announce one. */
    private static final long UNKNOWN_IDLE_MILLIS = 1_500L;

    private static final long MILLIS_PER_SECOND = 1_000L;

    private final ClientPool pool;
    private final HttpParser parser = Parsers.forResponses(this, MAX_HEAD_BYTES);
    private ClientListener listener;
    private HttpFields.Mutable fields = HttpFields.build();
    private int status;
    private HttpVersion version;
    private boolean mayHaveBeenSent;
    private boolean responseComplete;
    private int bytesWithoutBody;
    private boolean unusable;
    private boolean paused;
    private final long openedMillis = EventLoop.nowMillis();
    private long idleSinceMillis = openedMillis;
    private Optional<Long> idleLimitMillis = Optional.empty();

    ClientConnection(EndPoint endPoint, EventLoop loop, ClientPool pool) {
        super(endPoint, loop);
        this.pool = pool;
    }

    /** {@inheritDoc} */
    @Override
    public void onOpen() {
        super.onOpen();
        pool.onOpened(this);
    }

    long openedMillis() {
        return openedMillis;
    }

    /**
     * Returns whether a request may be sent over this connection.
     *
     * @param idempotent whether the request is idempotent; such a request may also use a connection whose idle
     *     timeout is unknown, however long it has been idle.
     * @param nowMillis the current monotonic time.
     */
    boolean isUsable(boolean idempotent, long nowMillis) {
        if (unusable || listener != null || !getEndPoint().isOpen()) {
            return false;
        }
        long idleMillis = nowMillis - idleSinceMillis;
        long maxIdleMillis =
                idleLimitMillis.map(limit -> limit - IDLE_MARGIN_MILLIS).orElse(UNKNOWN_IDLE_MILLIS);
        return idleLimitMillis.isEmpty() && idempotent || idleMillis < maxIdleMillis;
    }

    /**
     * Reads pending input and returns whether the connection is still open.
     *
     * <p>If the peer closes an idle connection while the loop is busy, a request could be sent before the end of
     * input is read. A non-idempotent request would then fail as one that may have run, although no peer received it.
     * Reading first detects every close that has reached the kernel; a close that is still in transit can't be
     * detected.
     */
    boolean readAndCheckOpen() {
        readDuringInput();
        return !unusable && getEndPoint().isOpen();
    }

    void send(ClientRequest request, ClientListener newListener) {
        listener = newListener;
        fields = HttpFields.build();
        responseComplete = false;
        bytesWithoutBody = 0;
        parser.reset();
        parser.setHeadResponse("HEAD".equals(request.method()));
        boolean sendsBodyApart = request.body().length > MAX_COPIED_BODY_BYTES;
        int requiredBytes =
                request.target().length() + (sendsBodyApart ? 0 : request.body().length) + OUTPUT_SLACK_BYTES;
        for (HttpField field : request.fields()) {
            requiredBytes +=
                    field.getName().length() + String.valueOf(field.getValue()).length() + 4;
        }
        ByteBuffer sharedBuffer = loop().outputBuffer();
        ByteBuffer buffer =
                requiredBytes <= sharedBuffer.capacity() ? sharedBuffer : ByteBuffer.allocate(requiredBytes);
        MessageHead.putRequestLine(buffer, request.method(), request.target());
        MessageHead.putFields(buffer, request.fields());
        if (request.body().length > 0 || expectsContent(request.method())) {
            MessageHead.put(buffer, "Content-Length: " + request.body().length + "\r\n");
        }
        MessageHead.putEnd(buffer);
        if (sendsBodyApart) {
            mayHaveBeenSent = send(buffer.flip());
            mayHaveBeenSent |= sendUncopied(ByteBuffer.wrap(request.body()));
        } else {
            buffer.put(request.body());
            mayHaveBeenSent = send(buffer.flip());
        }
    }

    void pauseReading(ClientListener expected) {
        if (listener == expected) {
            paused = true;
        }
    }

    void resumeReading(ClientListener expected) {
        if (listener == expected && paused) {
            paused = false;
            awaitInput();
        }
    }

    /** A paused response stays unread; a connection without a request is always read, to notice its end. */
    @Override
    boolean acceptsInput() {
        return !paused;
    }

    void cancel(ClientListener expected) {
        if (listener == expected) {
            listener = null;
            unusable = true;
            pool.onClosed(this);
            closeWithReset();
        }
    }

    @Override
    void onInput(ByteBuffer bytes) {
        if (listener == null) {
            // After bytes without a request, further input could be mistaken for the response to the next one.
            fail("bytes without a request");
            return;
        }
        while (bytes.hasRemaining() && listener != null && !responseComplete && !unusable) {
            bytesWithoutBody += bytes.remaining();
            parser.parseNext(bytes);
            bytesWithoutBody -= bytes.remaining();
            if (parser.isComplete() && status < FIRST_FINAL_STATUS && !responseComplete) {
                fields = HttpFields.build();
                parser.reset();
            }
            if (bytesWithoutBody > MAX_BYTES_WITHOUT_BODY && !responseComplete) {
                fail("more than " + MAX_BYTES_WITHOUT_BODY + " bytes of a response without any of its body");
            }
        }
        if (responseComplete) {
            finishResponse(bytes.hasRemaining());
        }
    }

    @Override
    void onInputEnd(Throwable cause) {
        if (cause == null && listener != null && !responseComplete) {
            parser.atEOF();
            parser.parseNext(ByteBuffer.allocate(0));
        }
        if (responseComplete && listener != null) {
            finishResponse(true);
        }
        fail(describe(cause));
    }

    private void finishResponse(boolean hasSurplusBytes) {
        ClientListener completed = listener;
        listener = null;
        paused = false;
        boolean closesConnection = hasSurplusBytes
                || isWriteInProgress()
                || version != HttpVersion.HTTP_1_1
                || fields.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        idleSinceMillis = EventLoop.nowMillis();
        idleLimitMillis = MessageHead.keepAliveSeconds(fields).map(seconds -> seconds * MILLIS_PER_SECOND);
        if (closesConnection) {
            unusable = true;
            pool.onClosed(this);
            getEndPoint().close();
        } else {
            pool.release(this);
        }
        completed.onComplete();
    }

    private void fail(String reason) {
        if (!unusable) {
            unusable = true;
            pool.onClosed(this);
        }
        getEndPoint().close();
        if (listener != null) {
            ClientListener failed = listener;
            listener = null;
            failed.onFailure(mayHaveBeenSent, reason);
        }
    }

    private static boolean expectsContent(String method) {
        return "POST".equals(method) || "PUT".equals(method) || "PATCH".equals(method);
    }

    /** {@inheritDoc} */
    @Override
    public void startResponse(HttpVersion newVersion, int newStatus, String reason) {
        version = newVersion;
        status = newStatus;
    }

    /** {@inheritDoc} */
    @Override
    public void parsedHeader(HttpField field) {
        fields.add(field);
    }

    /** {@inheritDoc} */
    @Override
    public boolean headerComplete() {
        if (status >= FIRST_FINAL_STATUS && listener != null) {
            listener.onHead(status, fields);
        }
        return false;
    }

    /** {@inheritDoc} */
    @Override
    public boolean content(ByteBuffer content) {
        if (content.hasRemaining()) {
            bytesWithoutBody = 0;
        }
        if (listener != null) {
            listener.onBody(content);
        }
        content.position(content.limit());
        return listener == null;
    }

    /** {@inheritDoc} */
    @Override
    public boolean contentComplete() {
        return false;
    }

    /** {@inheritDoc} */
    @Override
    public boolean messageComplete() {
        if (status >= FIRST_FINAL_STATUS) {
            responseComplete = true;
        }
        return true;
    }

    /** {@inheritDoc} */
    @Override
    public void earlyEOF() {
        fail("the answer ended early");
    }

    /** {@inheritDoc} */
    @Override
    public void badMessage(HttpException failure) {
        fail("the response can't be parsed: " + failure.getReason());
    }
}
