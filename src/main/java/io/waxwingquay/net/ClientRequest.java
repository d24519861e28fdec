package io.waxwingquay.net;

import org.eclipse.jetty.http.HttpFields;

/**
 * A request of ours to another server.
 *
 * @param method the method.
 * @param target the request target.
 * @param fields the header fields, without framing.
 * @param body the body; empty if there is none.
 * @param idempotent whether a second run does no harm; one that may not is kept off connections that are about to close.
 */
public record ClientRequest(String method, String target, HttpFields fields, byte[] body, boolean idempotent) {}
