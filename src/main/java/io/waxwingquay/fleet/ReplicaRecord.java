package io.waxwingquay.fleet;

import io.waxwingquay.common.HostPort;
import java.util.List;
import java.util.OptionalLong;

/**
 * What a replica says of itself in the list of replicas.
 *
 * @param id its id, which may outlive a restart.
 * @param bornMillis when this life began, by the platform's wall clock; 0 if it does not say.
 * @param service the service that it belongs to.
 * @param address where it takes requests.
 * @param zone its data centre.
 * @param slots requests that it runs at once.
 * @param draining whether it is about to leave.
 * @param remainingMillis how long it stays at the most, if it was told.
 * @param models what it holds.
 */
public record ReplicaRecord(
        String id,
        long bornMillis,
        String service,
        HostPort address,
        String zone,
        int slots,
        boolean draining,
        OptionalLong remainingMillis,
        List<ResidentModel> models) {

    /**
     * Whether another record speaks of the same life.
     *
     * @param other the other record.
     * @return whether what is known of one holds for the other.
     */
    public boolean isSameIncarnation(ReplicaRecord other) {
        return id.equals(other.id) && bornMillis == other.bornMillis && address.equals(other.address);
    }

    /**
     * A model that a replica holds.
     *
     * @param name the model's name.
     * @param adapters the adapters of it that are loaded.
     */
    public record ResidentModel(String name, List<String> adapters) {}
}
