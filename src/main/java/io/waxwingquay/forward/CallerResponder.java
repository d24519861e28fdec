package io.waxwingquay.forward;

import io.waxwingquay.net.MessageHead;
import io.waxwingquay.net.ServerExchange;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/**
 * Writes the response to one caller. Each final response returns the status that the caller sees, or 0 if it sees no
 * complete one.
 */
final class CallerResponder {

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /**
     * The most bytes that may wait for a caller to read them; without a limit a caller that reads nothing would exhaust
     * the memory of this process.
     */
    private static final long MAX_UNSENT_BYTES = 1_048_576L;

    private final ServerExchange caller;
    private final ForwardContext context;

    CallerResponder(ServerExchange caller, ForwardContext context) {
        this.caller = caller;
        this.context = context;
    }

    /** Passes on a complete response of a replica unchanged. */
    int respond(Attempt from, byte[] body) {
        caller.respond(from.status(), MessageHead.endToEndFields(from.fields()), body);
        return from.status();
    }

    /**
     * Begins a stream with the head of the replica that began it, which stays the same if another replica resumes the
     * stream.
     */
    void beginStream(Attempt from) {
        caller.begin(from.status(), MessageHead.endToEndFields(from.fields()));
    }

    /** Passes on a part of a stream; returns whether the caller still reads what it is sent. */
    boolean writePart(byte[] bytes) {
        caller.write(ByteBuffer.wrap(bytes));
        return caller.unsentBytes() <= MAX_UNSENT_BYTES;
    }

    int endStream(Attempt from) {
        caller.finish();
        return from.status();
    }

    /** Rejects a request that has not run and will not run, with a retry-after delay. */
    int reject(String why, long retryAfterMillis) {
        return rejectUntil(why, context.jitter(retryAfterMillis));
    }

    /** Rejects a request that has not run and will not run, with a retry-after delay that is spread already. */
    int rejectUntil(String why, long retryAfterMillis) {
        caller.respond(
                UNAVAILABLE, context.codec().refusalFields(Optional.of(retryAfterMillis)), "it has not run: " + why);
        return UNAVAILABLE;
    }

    /** Fails a request that may have run. */
    int badGateway() {
        caller.respond(BAD_GATEWAY, HttpFields.EMPTY, "the replica sent no complete response");
        return BAD_GATEWAY;
    }

    /** Fails a request whose deadline has passed; it may have run or be running still. */
    int gatewayTimeout() {
        caller.respond(GATEWAY_TIMEOUT, HttpFields.EMPTY, "no response before the deadline");
        return GATEWAY_TIMEOUT;
    }

    /** Aborts an incomplete response by closing the connection, so that it doesn't look complete. */
    int abort() {
        caller.abort();
        return 0;
    }
}
