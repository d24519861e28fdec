package io.waxwingquay.side;

import io.waxwingquay.common.HostPort;

/**
 * Who a side process is.
 *
 * @param sideId its name.
 * @param address where it listens for Thrift.
 * @param dataCentre its data centre.
 * @param serviceName the service its target belongs to.
 * @param replica its number within the service.
 * @param epoch its boot epoch, higher than that of any earlier process of this name; also its fencing number.
 */
public record SideIdentity(
        String sideId, HostPort address, String dataCentre, String serviceName, int replica, long epoch) {}
