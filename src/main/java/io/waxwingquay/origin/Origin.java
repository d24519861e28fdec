package io.waxwingquay.origin;

import io.waxwingquay.transport.generated.StreamOrigin;

/**
 * The software that sent the first event of a stream.
 *
 * @param service the service of the replica.
 * @param softwareVersion the version of its software, {@link #UNKNOWN_VERSION} if that was not known; versions of
 *     different services are not comparable.
 */
public record Origin(String service, String softwareVersion) {

    /** The version of a replica that states none or has restarted since it did; a stream that began there ends there. */
    public static final String UNKNOWN_VERSION = "";

    static Origin of(StreamOrigin stated) {
        return new Origin(stated.getServiceName(), stated.getSoftwareVersion());
    }

    StreamOrigin ofStream(String streamId) {
        return new StreamOrigin(streamId, service, softwareVersion);
    }
}
