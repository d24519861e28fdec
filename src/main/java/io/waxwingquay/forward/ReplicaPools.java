package io.waxwingquay.forward;

import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.net.EventLoop;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/** Opens the connection pools of replicas, and divides the connections that replicas accept among the entries. */
final class ReplicaPools {

    /** Share of a replica's connections used by entries; the rest is left to other clients, such as health checks. */
    private static final double CONNECTION_SHARE = 0.9;

    private final EventLoop loop;
    private final Supplier<Optional<Manifest>> manifest;
    private final IntSupplier entryCount;

    /**
     * Creates pools.
     *
     * @param loop the loop on which connections run.
     * @param manifest the configuration in force.
     * @param entryCount the number of entries that share the connections.
     */
    ReplicaPools(EventLoop loop, Supplier<Optional<Manifest>> manifest, IntSupplier entryCount) {
        this.loop = loop;
        this.manifest = manifest;
        this.entryCount = entryCount;
    }

    /** Opens the pool of a replica. */
    ClientPool open(ReplicaRecord record) {
        return new ClientPool(loop, record.address().toSocketAddress(), maxConnections(record));
    }

    /** Applies the present share of this entry to the pool of a replica. */
    void limit(Target target) {
        target.pool().maxConnections(maxConnections(target.record()));
    }

    /** Returns the number of connections of this entry; all entries together stay below what a replica accepts. */
    private int maxConnections(ReplicaRecord record) {
        int atReplica = manifest.get()
                .map(known -> known.services().get(record.service()))
                .map(Manifest.Service::maxConnections)
                .orElse(record.slots());
        return (int) Math.max(1, atReplica * CONNECTION_SHARE / entryCount.getAsInt());
    }
}
