package io.waxwingquay.forward;

import io.waxwingquay.net.ClientCall;
import io.waxwingquay.net.ClientListener;
import io.waxwingquay.net.EventLoop;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;

/** One sending of a request to one replica, and what comes back. */
final class Attempt implements ClientListener {

    /** A whole answer is kept until it is complete, so that a broken one can be replaced; a longer one is refused. */
    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;

    private final Exchange exchange;
    private final Target target;
    private final long sentMillis = EventLoop.nowMillis();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private final EventCutter cutter = new EventCutter(this::event);
    private ClientCall call;
    private int status;
    private HttpFields fields = HttpFields.EMPTY;
    private MessageCodec.ResponseHead reply;
    private boolean streams;
    private boolean over;
    private boolean bodyBegan;
    private boolean ranWell;
    private long heardMillis = sentMillis;

    Attempt(Exchange exchange, Target target) {
        this.exchange = exchange;
        this.target = target;
    }

    Target target() {
        return target;
    }

    long sentMillis() {
        return sentMillis;
    }

    /** When something of an answer came last, or else when it was sent. */
    long heardMillis() {
        return heardMillis;
    }

    HttpFields fields() {
        return fields;
    }

    int status() {
        return status;
    }

    boolean isOver() {
        return over;
    }

    void call(ClientCall newCall) {
        call = newCall;
        if (over) {
            call.cancel();
        }
    }

    /** Whether the replica may have got some of it. */
    boolean mayHaveLeft() {
        return call != null && call.mayHaveLeft();
    }

    /** Gives it up; closing the connection ends the replica's work. */
    void cancel() {
        if (!over) {
            over = true;
            if (call != null) {
                call.cancel();
            }
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onHead(int newStatus, HttpFields newFields) {
        status = newStatus;
        fields = newFields;
        heard();
        reply = exchange.codec().readResponse(status, fields);
        if (!reply.id().isEmpty() && !reply.id().equals(exchange.ask().id())) {
            // The answer of another request, late or doubled; nothing on this connection can be told apart any more.
            breakOff("an answer to request " + reply.id());
            return;
        }
        if (reply.replicaId().map(target.id()::equals).orElse(true)) {
            target.answerBegan(fields.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString()));
            exchange.limited(target, reply.limitPerSecond());
        }
        streams = status == OK && exchange.isStream() && !reply.didNotRun();
    }

    /** {@inheritDoc} */
    @Override
    public void onBody(ByteBuffer bytes) {
        if (over) {
            return;
        }
        heard();
        bodyBegan = true;
        if (streams) {
            cutter.take(bytes);
            return;
        }
        if (body.size() + bytes.remaining() > MAX_ANSWER_BYTES) {
            breakOff("an answer of more than " + MAX_ANSWER_BYTES + " bytes");
            return;
        }
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        body.write(part, 0, part.length);
    }

    /** {@inheritDoc} */
    @Override
    public void onEnd() {
        if (over) {
            return;
        }
        over = true;
        if (status < SERVER_ERROR && !reply.didNotRun()) {
            ranWell();
        }
        if (streams) {
            exchange.streamEnded(this, cutter.rest());
        } else {
            exchange.answered(this, reply, body.toByteArray());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onFailure(boolean sent, String why) {
        if (!over) {
            over = true;
            if (sent && !bodyBegan) {
                exchange.suspicion().broke(target);
            }
            exchange.failed(this, sent, why);
        }
    }

    /** Its replica is known to answer, and in what time. */
    void succeeded() {
        long nowMillis = EventLoop.nowMillis();
        target.tries().succeeded(nowMillis - sentMillis, nowMillis);
    }

    private void heard() {
        heardMillis = EventLoop.nowMillis();
        target.heard(heardMillis);
    }

    private void event(byte[] bytes, OptionalLong id) {
        if (!over) {
            ranWell();
            exchange.event(this, bytes, id);
        }
    }

    private void ranWell() {
        if (!ranWell) {
            ranWell = true;
            exchange.suspicion().answered(target, sentMillis);
        }
    }

    private void breakOff(String why) {
        cancel();
        exchange.failed(this, true, why);
    }
}
