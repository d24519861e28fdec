package io.waxwingquay.forward;

import io.waxwingquay.net.MessageHead;
import io.waxwingquay.net.ServerExchange;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/** Gives one caller its answer. Each final answer returns the status that the caller sees, 0 if it sees no whole one. */
final class CallerResponder {

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** A caller that takes nothing would let its answer grow here until the process is killed for its memory. */
    private static final long MAX_UNSENT_BYTES = 1_048_576L;

    private final ServerExchange caller;
    private final ForwardContext context;

    CallerResponder(ServerExchange caller, ForwardContext context) {
        this.caller = caller;
        this.context = context;
    }

    /** A replica's whole answer, as it came. */
    int respond(Attempt from, byte[] body) {
        caller.respond(from.status(), MessageHead.endToEnd(from.fields()), body);
        return from.status();
    }

    /** The head of a stream; it stays that of the replica that began it. */
    void beginStream(Attempt from) {
        caller.begin(from.status(), MessageHead.endToEnd(from.fields()));
    }

    /** Passes an event on; returns whether the caller takes what it is sent. */
    boolean writeEvent(byte[] bytes) {
        caller.write(ByteBuffer.wrap(bytes));
        return caller.unsentBytes() <= MAX_UNSENT_BYTES;
    }

    int endStream(Attempt from, byte[] tail) {
        caller.write(ByteBuffer.wrap(tail));
        caller.finish();
        return from.status();
    }

    /** It has not run, and will not. */
    int reject(String why, long retryAfterMillis) {
        long jitteredMillis = context.jitter(retryAfterMillis);
        caller.respond(
                UNAVAILABLE, context.codec().refusalFields(Optional.of(jitteredMillis)), "it has not run: " + why);
        return UNAVAILABLE;
    }

    /** It may have run. */
    int badGateway() {
        caller.respond(BAD_GATEWAY, HttpFields.EMPTY, "the replica gave no answer");
        return BAD_GATEWAY;
    }

    /** It may have run, or run still. */
    int gatewayTimeout() {
        caller.respond(GATEWAY_TIMEOUT, HttpFields.EMPTY, "no answer in time");
        return GATEWAY_TIMEOUT;
    }

    /** What the caller has is a part; the connection ends so that it does not look whole. */
    int abort() {
        caller.abort();
        return 0;
    }
}
