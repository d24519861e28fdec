package io.waxwingquay.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/** One connection of a caller: requests one after the other, each answered before the next is read. */
final class ServerConnection extends LoopConnection implements HttpParser.RequestHandler {

    /** A caller that sends on while its request waits is read no further beyond this. */
    private static final int MAX_PIPELINED_BYTES = 65_536;

    /** How long a caller has to close after its last answer; its bytes are dropped meanwhile. */
    private static final long LINGER_MILLIS = 1_000L;

    private static final int OUTPUT_SLACK_BYTES = 512;
    private static final int PAYLOAD_TOO_LARGE = 413;
    private static final int BAD_REQUEST = 400;
    private static final int REQUEST_TIMEOUT = 408;

    private final HttpServer server;
    private final HttpParser parser;
    private final ByteArrayOutputStream pipelined = new ByteArrayOutputStream(0);
    private HttpFields.Mutable fields = HttpFields.build();
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private String method;
    private String target;
    private HttpVersion version;
    private ServerExchange exchange;
    private boolean rejected;
    private boolean closing;
    private boolean parsing;
    private boolean resetPending;
    private long phaseStartMillis = EventLoop.nowMillis();
    private boolean requestStarted;
    private long readCount;

    ServerConnection(EndPoint endPoint, EventLoop loop, HttpServer server) {
        super(endPoint, loop);
        this.server = server;
        this.parser = new HttpParser(this, server.limits().maxHeaderBytes());
        server.opened(this);
    }

    /**
     * Failure: a caller sends on without end while its request waits. Symptom: what is kept grows until the process is
     * killed for its memory, or the connection is closed and the request under way with it. What is not read waits in the
     * kernel, which stops the caller.
     */
    @Override
    boolean acceptsInput() {
        return exchange == null || pipelined.size() < MAX_PIPELINED_BYTES;
    }

    @Override
    void onInput(ByteBuffer bytes) {
        readCount++;
        if (closing) {
            return;
        }
        if (exchange != null) {
            bufferPipelined(bytes);
            return;
        }
        parse(bytes);
    }

    @Override
    void onInputEnd(Throwable cause) {
        server.closed(this);
        if (exchange != null) {
            ServerExchange abandoned = exchange;
            exchange = null;
            abandoned.disconnected();
        }
        getEndPoint().close();
    }

    @Override
    void onWritesComplete() {
        if (!requestStarted) {
            phaseStartMillis = EventLoop.nowMillis();
        }
        if (closing) {
            shutdownOutput();
        }
    }

    ByteBuffer responseBuffer(int bytes) {
        ByteBuffer shared = loop().outputBuffer();
        return bytes + OUTPUT_SLACK_BYTES <= shared.capacity()
                ? shared
                : ByteBuffer.allocate(bytes + OUTPUT_SLACK_BYTES);
    }

    boolean isDraining() {
        return server.isDraining();
    }

    /**
     * Whether it can be closed without cutting anything.
     *
     * <p>Failure: a caller takes its answer slowly, and the connection counts as idle from the moment at which the answer
     * was made. Symptom: at the limit of idle connections, or when the process leaves, the caller gets a part of its
     * answer. What this process still holds of it is known exactly, so that is looked at too.
     */
    private boolean isIdle() {
        return exchange == null && !requestStarted && !isWriteInProgress();
    }

    /** The exchange is complete; the next request may have come already. */
    void onResponseComplete(boolean closesConnection) {
        exchange = null;
        phaseStartMillis = EventLoop.nowMillis();
        if (closesConnection) {
            closeAfterWrites();
            return;
        }
        if (parsing) {
            // The parser is on the stack; it starts anew once it has returned.
            resetPending = true;
            return;
        }
        resetMessage();
        parsePipelined();
        awaitInput();
    }

    /** Looks at the time: a request that does not come in, or a connection that no one uses. */
    void checkTimeouts(long nowMillis) {
        if (exchange != null) {
            return;
        }
        if (isWriteInProgress()) {
            // A caller that takes nothing any more would keep its answer here for ever.
            closeIf(writeStalledMillis() > server.limits().idleTimeoutMillis());
            return;
        }
        long elapsedMillis = nowMillis - phaseStartMillis;
        if (closing) {
            closeIf(elapsedMillis > LINGER_MILLIS);
        } else if (requestStarted && elapsedMillis > server.limits().headerTimeoutMillis()) {
            reject(REQUEST_TIMEOUT, "the request did not come in whole");
        } else if (elapsedMillis > server.limits().idleTimeoutMillis()) {
            closeIfIdle();
        }
    }

    /**
     * Closes it if there is no request, not even an unread one.
     *
     * <p>Failure: a request has come while the loop was at something else, and the connection is closed by what was read
     * before. Symptom: a close with unread bytes is a reset, and the caller gets no answer. What the kernel holds is read
     * first, and a connection that was used by it is kept; a request still on its way can't be known, and has not run.
     */
    void closeIfIdle() {
        if (isIdle()) {
            long readCountBefore = readCount;
            onFillable();
            closeIf(isIdle() && readCount == readCountBefore);
        }
    }

    private void closeIf(boolean condition) {
        if (condition) {
            close();
        }
    }

    private void parse(ByteBuffer bytes) {
        parsing = true;
        while (bytes.hasRemaining() && exchange == null && !closing && !rejected) {
            if (parser.isStart() && !requestStarted) {
                requestStarted = true;
                phaseStartMillis = EventLoop.nowMillis();
            }
            parser.parseNext(bytes);
            if (resetPending) {
                resetPending = false;
                resetMessage();
            }
        }
        parsing = false;
        if (bytes.hasRemaining() && !closing) {
            bufferPipelined(bytes);
        }
    }

    private void parsePipelined() {
        while (pipelined.size() > 0 && exchange == null && !closing) {
            ByteBuffer buffered = ByteBuffer.wrap(pipelined.toByteArray());
            pipelined.reset();
            parse(buffered);
        }
    }

    private void bufferPipelined(ByteBuffer bytes) {
        byte[] copy = BufferUtil.toArray(bytes);
        bytes.position(bytes.limit());
        pipelined.write(copy, 0, copy.length);
    }

    private void resetMessage() {
        parser.reset();
        fields = HttpFields.build();
        body = new ByteArrayOutputStream(0);
        requestStarted = false;
    }

    private void reject(int status, String reason) {
        if (rejected) {
            return;
        }
        rejected = true;
        ServerRequest unreadRequest = new ServerRequest("", "", HttpFields.EMPTY, new byte[0], EventLoop.nowMillis());
        exchange = new ServerExchange(this, unreadRequest, false);
        exchange.respond(status, HttpFields.EMPTY, reason);
    }

    private void closeAfterWrites() {
        closing = true;
        if (!isWriteInProgress()) {
            shutdownOutput();
        }
    }

    /**
     * Closes the way out, and leaves the rest to the caller's close or to {@link #checkTimeouts}.
     *
     * <p>Failure: a connection is closed while bytes of its caller are unread or on their way: the rest of a body that was
     * refused, or a request that crosses the close. Symptom: the kernel resets it, and the caller loses the answer that
     * was sent before. With the way in still open there is nothing to reset for.
     */
    private void shutdownOutput() {
        phaseStartMillis = EventLoop.nowMillis();
        getEndPoint().shutdownOutput();
        awaitInput();
    }

    /** {@inheritDoc} */
    @Override
    public void startRequest(String newMethod, String uri, HttpVersion newVersion) {
        method = newMethod;
        target = uri;
        version = newVersion;
    }

    /** {@inheritDoc} */
    @Override
    public void parsedHeader(HttpField field) {
        fields.add(field);
    }

    /** {@inheritDoc} */
    @Override
    public boolean headerComplete() {
        if (parser.getContentLength() > server.limits().maxBodyBytes()) {
            reject(
                    PAYLOAD_TOO_LARGE,
                    "the body is longer than " + server.limits().maxBodyBytes() + " bytes");
            return true;
        }
        if (fields.contains(HttpHeader.EXPECT, HttpHeaderValue.CONTINUE.asString())) {
            send(ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1)));
        }
        return false;
    }

    /** {@inheritDoc} */
    @Override
    public boolean content(ByteBuffer content) {
        if (body.size() + content.remaining() > server.limits().maxBodyBytes()) {
            reject(
                    PAYLOAD_TOO_LARGE,
                    "the body is longer than " + server.limits().maxBodyBytes() + " bytes");
            return true;
        }
        byte[] part = BufferUtil.toArray(content);
        content.position(content.limit());
        body.write(part, 0, part.length);
        return false;
    }

    /** {@inheritDoc} */
    @Override
    public boolean contentComplete() {
        return false;
    }

    /** {@inheritDoc} */
    @Override
    public boolean messageComplete() {
        if (rejected) {
            return true;
        }
        boolean persistent = version == HttpVersion.HTTP_1_1
                && !fields.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        ServerRequest request = new ServerRequest(method, target, fields, body.toByteArray(), EventLoop.nowMillis());
        exchange = new ServerExchange(this, request, persistent);
        server.handle(exchange);
        return true;
    }

    /** {@inheritDoc} */
    @Override
    public void earlyEOF() {
        close();
    }

    /** {@inheritDoc} */
    @Override
    public void badMessage(HttpException failure) {
        int status = failure.getCode() >= BAD_REQUEST ? failure.getCode() : BAD_REQUEST;
        reject(status, "the request can't be read: " + failure.getReason());
    }
}
