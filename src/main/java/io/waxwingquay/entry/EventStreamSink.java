package io.waxwingquay.entry;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes an answer as server-sent events. The status line is sent with the first chunk, so a request that fails before
 * then still gets an HTTP error. Only a complete answer ends with {@code [DONE]}.
 */
final class EventStreamSink implements AnswerSink {

    private static final int MAXIMUM_CODE_POINT_BYTES = 4;

    private final ModelRequest request;
    private final Response response;
    private final BooleanSupplier abandoned;
    private final Runnable onFirstChunk;
    private final CharsetDecoder decoder = StandardCharsets.UTF_8
            .newDecoder()
            .onMalformedInput(CodingErrorAction.REPLACE)
            .onUnmappableCharacter(CodingErrorAction.REPLACE);
    private byte[] undecoded = new byte[0];
    private volatile boolean started;
    private volatile boolean writeFailed;

    EventStreamSink(ModelRequest request, Response response, BooleanSupplier abandoned, Runnable onFirstChunk) {
        this.request = request;
        this.response = response;
        this.abandoned = abandoned;
        this.onFirstChunk = onFirstChunk;
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Void> accept(long offset, byte[] bytes, int units) {
        start();
        String data = CallerMessages.piece(request, offset, units, decode(bytes));
        CompletableFuture<Void> written = new CompletableFuture<>();
        Callback callback = Callback.from(() -> written.complete(null), failure -> {
            writeFailed = true;
            written.completeExceptionally(failure);
        });
        response.write(false, event("data: " + data), callback);
        return written;
    }

    /** {@inheritDoc} */
    @Override
    public boolean isStarted() {
        return started;
    }

    /** {@inheritDoc} */
    @Override
    public boolean isAbandoned() {
        return writeFailed || abandoned.getAsBoolean();
    }

    /** {@inheritDoc} */
    @Override
    public void restart() {
        undecoded = new byte[0];
    }

    void complete(Callback callback) {
        start();
        response.write(true, event("data: [DONE]"), callback);
    }

    void fail(CallFailure failure, Callback callback) {
        if (started) {
            response.write(true, event("event: error\ndata: " + CallerMessages.error(failure)), callback);
        } else {
            HttpAnswerWriter.write(response, callback, failure);
        }
    }

    private void start() {
        if (!started) {
            started = true;
            response.setStatus(200);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream; charset=utf-8");
            response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-cache");
            onFirstChunk.run();
        }
    }

    /** Decodes a chunk. A chunk may end within a character, whose bytes are kept and decoded with the next chunk. */
    private String decode(byte[] bytes) {
        ByteBuffer input = ByteBuffer.allocate(undecoded.length + bytes.length);
        input.put(undecoded).put(bytes).flip();
        CharBuffer output = CharBuffer.allocate(input.remaining() + MAXIMUM_CODE_POINT_BYTES);
        decoder.decode(input, output, false);
        undecoded = new byte[input.remaining()];
        input.get(undecoded);
        return output.flip().toString();
    }

    private static ByteBuffer event(String lines) {
        return ByteBuffer.wrap((lines + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
