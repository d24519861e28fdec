package io.waxwingquay.fleet;

import io.waxwingquay.common.HostPort;
import java.util.List;
import java.util.OptionalLong;

/**
 * The row of a replica in the list of replicas.
 *
 * @param id the replica's id, which may stay the same after a restart.
 * @param bornMillis start time of this incarnation by the platform's wall clock; 0 if the replica does not report it.
 * @param service the service that it belongs to.
 * @param softwareVersion the version of its software, not of the weights that it holds; an empty text if unknown.
 * @param address the address at which it accepts requests.
 * @param zone its data centre.
 * @param slots number of requests that it runs at once.
 * @param draining whether it is about to leave.
 * @param remainingMillis the longest time that it stays, if known.
 * @param models the models that it holds.
 */
public record ReplicaRecord(
        String id,
        long bornMillis,
        String service,
        String softwareVersion,
        HostPort address,
        String zone,
        int slots,
        boolean draining,
        OptionalLong remainingMillis,
        List<ResidentModel> models) {

    /**
     * Returns whether another record describes the same incarnation of the replica.
     *
     * @param other the other record.
     * @return whether what is known of one incarnation applies to the other record.
     */
    public boolean isSameIncarnation(ReplicaRecord other) {
        return id.equals(other.id) && bornMillis == other.bornMillis && address.equals(other.address);
    }

    /**
     * Returns whether another record shows a later state of the same incarnation: one that leaves does not stay after
     * all.
     *
     * @param other the other record.
     * @return whether this record calls an incarnation ready that the other one calls draining.
     */
    public boolean isEarlierStateOf(ReplicaRecord other) {
        return isSameIncarnation(other) && other.draining && !draining;
    }

    /**
     * A model that a replica holds.
     *
     * @param name the model's name.
     * @param adapters its loaded adapters.
     */
    public record ResidentModel(String name, List<String> adapters) {}
}
