package io.waxwingquay.net;

import org.eclipse.jetty.http.HttpFields;

/**
 * A request of this process to another server.
 *
 * @param method the method.
 * @param target the request target.
 * @param fields the header fields, without framing.
 * @param body the body; empty if there is none.
 * @param idempotent whether the request may safely run twice; any other is not sent over a connection that may be about
 *     to close.
 */
public record ClientRequest(String method, String target, HttpFields fields, byte[] body, boolean idempotent) {}
