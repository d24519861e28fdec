package io.waxwingquay.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/** A connection from a caller. Requests are processed one at a time; pipelined ones are parsed after the response. */
final class ServerConnection extends LoopConnection implements HttpParser.RequestHandler {

    /** Reading stops once this much pipelined input is buffered behind an unanswered request. */
    private static final int MAX_PIPELINED_BYTES = 65_536;

    /** How long a caller has to close the connection after its last response; its input is discarded meanwhile. */
    private static final long LINGER_MILLIS = 1_000L;

    /**
     * How long a caller may accept nothing of a response. This does not depend on the idle timeout, which a configuration
     * may lower to less than a caller needs to accept what it is owed.
     */
    private static final long MAX_WRITE_STALL_MILLIS = 60_000L;

    /** Time from the opening of a connection within which its first request usually arrives. */
    private static final long FIRST_REQUEST_MILLIS = 300L;

    /** Delay after which a caller may retry that soon reaches another server. */
    private static final long OTHER_SERVER_RETRY_AFTER_MILLIS = 200L;

    private static final int OUTPUT_SLACK_BYTES = 512;
    private static final int PAYLOAD_TOO_LARGE = 413;
    private static final int BAD_REQUEST = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int UNAVAILABLE = 503;
    private static final System.Logger LOG = System.getLogger("waxwingquay.net");

    private final HttpServer server;
    private final HttpParser parser;
    private final CallerBuffers buffers;
    private final boolean taken;
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
        this.buffers = new CallerBuffers(this, server.memory().budget(), server.backPressure());
        this.taken = server.takesConnection();
        this.parser = Parsers.forRequests(this, server.limits().maxHeaderBytes());
        server.onOpened(this);
    }

    /**
     * Applies backpressure to a caller that keeps sending while its request waits: unread input stays in the kernel,
     * whose flow control stops the caller. Otherwise the buffer would grow until the process is killed for its memory
     * use, or the connection would have to be closed together with the request in progress.
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
        server.onClosed(this);
        buffers.close();
        if (exchange != null) {
            ServerExchange abandoned = exchange;
            exchange = null;
            abandoned.disconnected();
        }
        getEndPoint().close();
    }

    @Override
    void onWriteQueued() {
        buffers.outputQueued();
    }

    @Override
    void onWriteAccepted() {
        buffers.outputChanged();
    }

    @Override
    void onWritesComplete() {
        buffers.outputComplete();
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

    CallerBuffers buffers() {
        return buffers;
    }

    BufferBudget budget() {
        return server.memory().budget();
    }

    boolean makeRoom(long bytes) {
        return server.backPressure().makeRoom(bytes);
    }

    boolean isDraining() {
        return server.isDraining();
    }

    boolean staysOpen() {
        return server.keepsConnections();
    }

    /**
     * Returns whether the connection can be closed without truncating a request or response.
     *
     * <p>A caller may read its response slowly. If the connection counted as idle once the response was written to
     * it, the idle timeout or the shutdown of the process would truncate that response. So a connection with a write
     * in progress is not idle.
     */
    private boolean isIdle() {
        return exchange == null && !requestStarted && !isWriteInProgress();
    }

    boolean isReceiving() {
        return exchange == null && requestStarted && !closing;
    }

    /** Returns whether the caller has yet to accept a part of a response that is complete here. */
    boolean isSending() {
        return exchange == null && isWriteInProgress();
    }

    /** Called when the exchange is complete; the next request may already be buffered. */
    void onResponseComplete(boolean closesConnection) {
        exchange = null;
        buffers.source(Optional.empty());
        phaseStartMillis = EventLoop.nowMillis();
        if (closesConnection) {
            closeAfterWrites();
            return;
        }
        if (parsing) {
            // The parser is on the call stack; it is reset once it has returned.
            resetPending = true;
            return;
        }
        resetMessage();
        parsePipelined();
        awaitInput();
    }

    /** Enforces the timeouts of incomplete requests, stalled writes, lingering closes and idle connections. */
    void checkTimeouts(long nowMillis) {
        if (exchange != null) {
            return;
        }
        if (isWriteInProgress()) {
            // A caller that stops reading would otherwise keep its response in memory for ever.
            closeIfStalled();
            return;
        }
        long elapsedMillis = nowMillis - phaseStartMillis;
        if (closing) {
            closeIf(elapsedMillis > LINGER_MILLIS);
        } else if (requestStarted && elapsedMillis > server.limits().headerTimeoutMillis()) {
            reject(REQUEST_TIMEOUT, "the request was not received completely");
        } else if (elapsedMillis > server.limits().idleTimeoutMillis()) {
            closeIfIdle();
        }
    }

    /**
     * Closes the connection if it has no request, not even an unread one, and none is about to come.
     *
     * <p>A request may have arrived while the loop was busy. Closing with unread bytes resets the connection, and the
     * caller gets no response. So pending input is read first, and a connection that had any is kept. A request that
     * is still in transit can't be detected, but has not run either.
     */
    void closeIfIdle() {
        if (isIdle() && !isFirstRequestDue()) {
            long readCountBefore = readCount;
            onFillable();
            closeIf(isIdle() && readCount == readCountBefore);
        }
    }

    /** Returns whether the caller has just opened the connection, so that its first request is still in transit. */
    private boolean isFirstRequestDue() {
        return readCount == 0 && EventLoop.nowMillis() - phaseStartMillis < FIRST_REQUEST_MILLIS;
    }

    /** Rejects a request that is still being received, as this process exits. */
    void rejectIfReceiving() {
        if (isReceiving()) {
            refuse(OTHER_SERVER_RETRY_AFTER_MILLIS, "this process exits");
        }
    }

    private void closeIfStalled() {
        long stalledMillis = writeStalledMillis();
        if (stalledMillis > MAX_WRITE_STALL_MILLIS) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "net: connection closed within a response unsent_bytes={0} stalled_ms={1}",
                    Long.toString(unsentBytes()),
                    stalledMillis);
            close();
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
            countInput();
            parse(buffered);
        }
    }

    private void bufferPipelined(ByteBuffer bytes) {
        byte[] copy = BufferUtil.toArray(bytes);
        bytes.position(bytes.limit());
        pipelined.write(copy, 0, copy.length);
        countInput();
    }

    private void countInput() {
        buffers.inputBytes(pipelined.size() + body.size());
    }

    private void resetMessage() {
        parser.reset();
        fields = HttpFields.build();
        dropBody();
        requestStarted = false;
    }

    private void dropBody() {
        body = new ByteArrayOutputStream(0);
        countInput();
    }

    private void reject(int status, String reason) {
        reject(status, HttpFields.EMPTY, reason);
    }

    private void reject(int status, HttpFields responseFields, String reason) {
        if (rejected) {
            return;
        }
        rejected = true;
        dropBody();
        ServerRequest unreadRequest = new ServerRequest("", "", HttpFields.EMPTY, new byte[0], EventLoop.nowMillis());
        exchange = new ServerExchange(this, unreadRequest, false);
        exchange.respond(status, responseFields, reason);
    }

    /**
     * Rejects a request whose body the budget has no room for. None of it has been handled, so that the caller may send
     * it again, to another entry.
     */
    private void rejectForMemory() {
        LOG.log(
                System.Logger.Level.INFO,
                "net: request with a body refused, no memory for it held_bytes={0}",
                Long.toString(budget().heldBytes()));
        refuse(OTHER_SERVER_RETRY_AFTER_MILLIS, "no memory for its body");
    }

    private void refuse(long retryAfterMillis, String why) {
        reject(UNAVAILABLE, server.memory().refusalFields().apply(retryAfterMillis), "it has not run: " + why);
    }

    private void rejectTooLong() {
        reject(PAYLOAD_TOO_LARGE, "the body is longer than " + server.limits().maxBodyBytes() + " bytes");
    }

    private boolean hasBody() {
        return parser.getContentLength() > 0 || fields.contains(HttpHeader.TRANSFER_ENCODING);
    }

    private void closeAfterWrites() {
        closing = true;
        if (!isWriteInProgress()) {
            shutdownOutput();
        }
    }

    /**
     * Shuts down the output only; the input is closed by the caller or by {@link #checkTimeouts}.
     *
     * <p>If a connection is closed while input is unread or in transit, such as the rest of a rejected body or a
     * request that crosses the close, the kernel resets it and the caller loses the response sent before. While the
     * input stays open, no reset occurs.
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
        if (!taken) {
            refuse(server.retryAfterMillis(), "too much work here");
            return true;
        }
        if (parser.getContentLength() > server.limits().maxBodyBytes()) {
            rejectTooLong();
            return true;
        }
        if (hasBody() && !budget().hasRoomForRequest(Math.max(1, parser.getContentLength()))) {
            rejectForMemory();
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
            rejectTooLong();
            return true;
        }
        if (!budget().hasRoomForRequest(content.remaining())) {
            rejectForMemory();
            return true;
        }
        byte[] part = BufferUtil.toArray(content);
        content.position(content.limit());
        body.write(part, 0, part.length);
        countInput();
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
        dropBody();
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
        reject(status, "the request can't be parsed: " + failure.getReason());
    }
}
