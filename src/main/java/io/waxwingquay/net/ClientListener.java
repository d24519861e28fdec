package io.waxwingquay.net;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * Receives the response to one request, on the loop. {@link #onComplete} or {@link #onFailure} is the last callback.
 */
public interface ClientListener {

    /**
     * Called when the head of the response has been received.
     *
     * @param status the HTTP status.
     * @param fields the header fields.
     */
    void onHead(int status, HttpFields fields);

    /**
     * Called when a part of the body has been received.
     *
     * @param bytes the part; consumed before this method returns.
     */
    void onBody(ByteBuffer bytes);

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called when the request ends without a complete response.
     *
     * @param mayHaveBeenSent whether any byte of the request may have been sent; {@code false} only if the peer
     *     certainly received none.
     * @param reason what happened, for logs.
     */
    void onFailure(boolean mayHaveBeenSent, String reason);
}
