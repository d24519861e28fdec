package io.waxwingquay.membership;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.transport.generated.SideState;
import io.waxwingquay.transport.generated.TargetKind;
import java.util.Map;
import java.util.Set;

/**
 * An immutable snapshot of what this process knows of a side process.
 *
 * @param id the side's name.
 * @param address the address of its Thrift server.
 * @param dataCentre its data centre.
 * @param service the service that its target belongs to.
 * @param replica its replica number within the service.
 * @param kind the kind of its target.
 * @param epoch its boot epoch; a restarted side has a higher one.
 * @param version the version of the record within the epoch.
 * @param state its lifecycle state.
 * @param capacityBytes the accelerator memory of its target.
 * @param residentItems the items in the memory of its target.
 * @param demandUnitsPerSecond the smoothed rate of requests per second for each item, served or refused.
 * @param reachable whether the last call of this process reached it.
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
     * Checks whether new work may be sent to this side.
     *
     * @return whether the side is serving and not known to be unreachable.
     */
    public boolean acceptsWork() {
        return state == SideState.SERVING && reachable;
    }
}
