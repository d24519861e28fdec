package io.waxwingquay.side;

import io.waxwingquay.common.HostPort;

/**
 * The identity of a side process.
 *
 * @param sideId the name of the side.
 * @param address the address on which it listens for Thrift.
 * @param dataCentre the data centre.
 * @param serviceName the service to which its target belongs.
 * @param replica the replica number within the service.
 * @param epoch the epoch of this incarnation, higher than that of any earlier process of this name; also its fencing
 *     number.
 */
public record SideIdentity(
        String sideId, HostPort address, String dataCentre, String serviceName, int replica, long epoch) {}
