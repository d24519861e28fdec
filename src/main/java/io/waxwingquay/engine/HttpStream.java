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
 * One open stream. Repeated tokens are dropped; a gap, a wrong total or a missing end is a lost answer, since
 * a listener would otherwise take part of an answer for the whole.
 */
final class HttpStream implements Response.Listener, AutoCloseable {

    private static final int OK = 200;
    private static final String DATA_PREFIX = "data:";

    private final Request request;
    private final HttpCalls.SendTracker sending;
    private final ModelEngine.Listener listener;
    private final String target;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final AtomicBoolean settled = new AtomicBoolean();
    private long nextOffset;

    HttpStream(
            Request request,
            HttpCalls.SendTracker sending,
            long fromOffset,
            ModelEngine.Listener listener,
            String target) {
        this.request = request;
        this.sending = sending;
        this.nextOffset = fromOffset;
        this.listener = listener;
        this.target = target;
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
                takeLine(text);
            } else {
                line.write(next);
            }
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onComplete(Result result) {
        if (!settled.get()) {
            settle(result);
        }
    }

    private synchronized void settle(Result result) {
        int status = result.getResponse() == null ? 0 : result.getResponse().getStatus();
        if (status > OK) {
            fail(HttpModelEngine.unexpected(target, status));
        } else if (result.isFailed()) {
            fail(TargetCalls.exception(sending.failure(result.getFailure()), target));
        } else {
            lose("closed the stream before its end");
        }
    }

    /**
     * {@inheritDoc}
     *
     * <p>A caller may close while it holds a lock that the listener waits for. Neither this method nor the
     * {@link #onComplete} that its abort may run takes the stream's own lock, so the two cannot deadlock.
     */
    @Override
    public void close() {
        settled.set(true);
        request.abort(new CancellationException("no longer listening"));
    }

    private void takeLine(String text) {
        if (settled.get() || !text.startsWith(DATA_PREFIX)) {
            return;
        }
        try {
            String json = text.substring(DATA_PREFIX.length());
            takeEvent(Json.MAPPER.readValue(json, HttpModelEngine.StreamEvent.class));
        } catch (JsonProcessingException failure) {
            lose("sent a malformed event");
        }
    }

    private void takeEvent(HttpModelEngine.StreamEvent event) {
        if (event.error().isPresent()) {
            lose("ended the generation early: " + event.error().get());
        } else if (event.end().orElse(false)) {
            takeEnd(event.total().orElse(-1L));
        } else {
            takeToken(event.offset().orElse(-1L), event.text().orElse(""));
        }
    }

    private void takeToken(long offset, String text) {
        if (offset > nextOffset) {
            lose("skipped from token " + nextOffset + " to " + offset);
        } else if (offset == nextOffset) {
            nextOffset++;
            listener.token(offset, text);
        }
    }

    private void takeEnd(long total) {
        if (total != nextOffset) {
            lose("ended at token " + nextOffset + " and states a total of " + total);
            return;
        }
        if (settled.compareAndSet(false, true)) {
            listener.end(OptionalLong.of(total), Optional.empty());
        }
    }

    private void lose(String what) {
        fail(new TargetException(TargetException.Kind.LOST, target + " " + what, null));
    }

    private void fail(TargetException failure) {
        if (settled.compareAndSet(false, true)) {
            listener.end(OptionalLong.empty(), Optional.of(failure));
            request.abort(failure);
        }
    }
}
