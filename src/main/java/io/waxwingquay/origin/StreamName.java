package io.waxwingquay.origin;

import io.waxwingquay.placement.RendezvousHash;

/**
 * Names a stream over all attempts of its caller.
 *
 * @param service the service that runs it.
 * @param attemptId the id of the attempt that brought its first event.
 */
public record StreamName(String service, String attemptId) {

    /** Returns the hash by which processes name the stream to each other. */
    long hash() {
        return RendezvousHash.hash(service + '/' + attemptId);
    }
}
