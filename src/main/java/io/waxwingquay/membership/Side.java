package io.waxwingquay.membership;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.transport.generated.SideState;
import io.waxwingquay.transport.generated.TargetKind;
import java.util.Map;
import java.util.Set;

/**
 * One side process as this process knows it; an immutable snapshot.
 *
 * @param id the side's name.
 * @param address where it listens for Thrift.
 * @param dataCentre its data centre.
 * @param service the service its target belongs to.
 * @param replica its number within the service.
 * @param kind what its target is.
 * @param epoch its boot epoch; a restarted side has a higher one.
 * @param version version of the record within the epoch.
 * @param state its lifecycle.
 * @param capacityBytes accelerator memory of its target.
 * @param residentItems items that it serves from memory now.
 * @param demandUnitsPerSecond requests a second that it saw for each item, served or refused, smoothed.
 * @param reachable whether this process has reached it when it last tried.
 */
public record Side(
        String id,
        HostPort address,
        String dataCentre,
        String service,
        int replica,
        TargetKind kind,
        long epoch,
        long version,
        SideState state,
        long capacityBytes,
        Set<String> residentItems,
        Map<String, Double> demandUnitsPerSecond,
        boolean reachable) {

    /**
     * Whether new work may be sent to it.
     *
     * @return whether it is serving and not known to be unreachable.
     */
    public boolean acceptsWork() {
        return state == SideState.SERVING && reachable;
    }
}
