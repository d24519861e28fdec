package io.waxwingquay.net;

import org.eclipse.jetty.http.HttpFields;

/**
 * A whole request of a caller.
 *
 * @param method the method.
 * @param target the request target, as it was sent.
 * @param fields the header fields, as they were sent.
 * @param body the body without its framing; empty if there is none.
 * @param arrivedMillis when its last byte was read, by the steady clock.
 */
public record ServerRequest(String method, String target, HttpFields fields, byte[] body, long arrivedMillis) {

    /**
     * The path of the target.
     *
     * @return the target without its query.
     */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
