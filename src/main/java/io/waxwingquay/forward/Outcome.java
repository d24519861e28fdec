package io.waxwingquay.forward;

import io.waxwingquay.manifest.Route;

/**
 * The outcome of a request.
 *
 * @param head the head of the request.
 * @param route its route.
 * @param service the service that it was sent to.
 * @param status the status that the caller received; 0 if it received no complete response.
 * @param attempts how often it was sent.
 * @param why what decided the outcome.
 * @param arrivedMillis when it arrived, by the monotonic clock.
 * @param stream its waiting time and the progress of its stream.
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
