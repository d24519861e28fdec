package io.waxwingquay.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.waxwingquay.common.HttpCalls;
import io.waxwingquay.common.Json;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CancellationException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;

/**
 * Parses the events of one open stream. Repeated tokens are dropped. A gap, a wrong total or a missing end ends the
 * stream as lost, because the listener would otherwise take a partial answer for the complete one.
 */
final class HttpStream implements Response.Listener, AutoCloseable {

    private static final int OK = 200;
    private static final String DATA_PREFIX = "data:";

    private final Request request;
    private final HttpCalls.SendTracker sending;
    private final ModelEngine.Listener listener;
    private final String targetDescription;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final AtomicBoolean ended = new AtomicBoolean();
    private long nextOffset;

    HttpStream(
            Request request,
            HttpCalls.SendTracker sending,
            long fromOffset,
            ModelEngine.Listener listener,
            String targetDescription) {
        this.request = request;
        this.sending = sending;
        this.nextOffset = fromOffset;
        this.listener = listener;
        this.targetDescription = targetDescription;
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void onContent(Response response, ByteBuffer content) {
        if (response.getStatus() != OK) {
            return;
        }
        while (content.hasRemaining()) {
            byte next = content.get();
            if (next == '\n') {
                String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                onLine(text);
            } else {
                line.write(next);
            }
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onComplete(Result result) {
        if (!ended.get()) {
            endWithResult(result);
        }
    }

    private synchronized void endWithResult(Result result) {
        int status = result.getResponse() == null ? 0 : result.getResponse().getStatus();
        if (status > OK) {
            fail(HttpModelEngine.unexpectedStatus(targetDescription, status));
        } else if (result.isFailed()) {
            fail(TargetCalls.exception(sending.failure(result.getFailure()), targetDescription));
        } else {
            failAsLost("closed the stream before the end event");
        }
    }

    /**
     * {@inheritDoc}
     *
     * <p>The calling thread may hold a lock that the listener waits for. To avoid a deadlock of the two threads,
     * neither this method nor the {@link #onComplete} that its abort may invoke acquires the monitor of this stream.
     */
    @Override
    public void close() {
        ended.set(true);
        request.abort(new CancellationException("the listener closed the stream"));
    }

    private void onLine(String text) {
        if (ended.get() || !text.startsWith(DATA_PREFIX)) {
            return;
        }
        try {
            String json = text.substring(DATA_PREFIX.length());
            onEvent(Json.MAPPER.readValue(json, HttpModelEngine.StreamEvent.class));
        } catch (JsonProcessingException failure) {
            failAsLost("sent a malformed event");
        }
    }

    private void onEvent(HttpModelEngine.StreamEvent event) {
        if (event.error().isPresent()) {
            failAsLost("ended the generation early: " + event.error().get());
        } else if (event.end().orElse(false)) {
            onEnd(event.total().orElse(-1L));
        } else {
            onToken(event.offset().orElse(-1L), event.text().orElse(""));
        }
    }

    private void onToken(long offset, String text) {
        if (offset > nextOffset) {
            failAsLost("skipped from token " + nextOffset + " to " + offset);
        } else if (offset == nextOffset) {
            nextOffset++;
            listener.onToken(offset, text);
        }
    }

    private void onEnd(long total) {
        if (total != nextOffset) {
            failAsLost("ended at token " + nextOffset + " but states a total of " + total);
            return;
        }
        if (ended.compareAndSet(false, true)) {
            listener.onEnd(OptionalLong.of(total), Optional.empty());
        }
    }

    private void failAsLost(String description) {
        fail(new TargetException(TargetException.Kind.LOST, targetDescription + " " + description, null));
    }

    private void fail(TargetException failure) {
        if (ended.compareAndSet(false, true)) {
            listener.onEnd(OptionalLong.empty(), Optional.of(failure));
            request.abort(failure);
        }
    }
}
