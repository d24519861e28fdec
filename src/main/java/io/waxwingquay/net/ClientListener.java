package io.waxwingquay.net;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * Told what comes back for one request, on the loop. After {@link #onComplete} or {@link #onFailure} nothing follows.
 */
public interface ClientListener {

    /**
     * The head of the answer has come.
     *
     * @param status the status.
     * @param fields the header fields.
     */
    void onHead(int status, HttpFields fields);

    /**
     * A part of the body has come.
     *
     * @param bytes the part; taken in before this returns.
     */
    void onBody(ByteBuffer bytes);

    /** The answer came whole. */
    void onComplete();

    /**
     * There is no whole answer.
     *
     * @param mayHaveBeenSent whether any byte of the request may have left; {@code false} only if the peer certainly saw none.
     * @param reason what happened, for logs.
     */
    void onFailure(boolean mayHaveBeenSent, String reason);
}
