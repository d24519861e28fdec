package io.waxwingquay.forward;

import io.waxwingquay.manifest.Route;

/**
 * How a request ended.
 *
 * @param head what was asked.
 * @param route its route.
 * @param service the service that it went to.
 * @param status the status that its caller got; 0 if it got no whole answer.
 * @param attempts how often it was sent.
 * @param why what decided it.
 * @param arrivedMillis when it came, by the steady clock.
 * @param stream how it came along, and its stream.
 */
record Outcome(
        MessageCodec.RequestHead head,
        Route route,
        String service,
        int status,
        int attempts,
        String why,
        long arrivedMillis,
        StreamProgress stream) {}
