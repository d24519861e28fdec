package io.waxwingquay.net;

import org.eclipse.jetty.http.HttpFields;

/**
 * A complete request from a caller.
 *
 * @param method the method.
 * @param target the request target, as received.
 * @param fields the header fields, as received.
 * @param body the body without its framing; empty if there is none.
 * @param arrivedMillis when its last byte was read, in monotonic time.
 */
public record ServerRequest(String method, String target, HttpFields fields, byte[] body, long arrivedMillis) {

    /**
     * Returns the path of the request target.
     *
     * @return the target without its query.
     */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
