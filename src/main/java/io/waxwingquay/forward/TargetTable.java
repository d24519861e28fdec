package io.waxwingquay.forward;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaDirectory;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.net.ClientPool;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** The lives of replicas that this entry sends to. What was known of a life ends with it. */
final class TargetTable implements ReplicaDirectory.Listener {

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final Function<ReplicaRecord, ClientPool> pools;
    private final Map<String, Target> byId = new HashMap<>();

    TargetTable(Function<ReplicaRecord, ClientPool> pools) {
        this.pools = pools;
    }

    Collection<Target> all() {
        return byId.values();
    }

    List<Target> of(String service) {
        return byId.values().stream()
                .filter(target -> target.record().service().equals(service))
                .toList();
    }

    /** The replica that has an address now. */
    Optional<Target> livingAt(HostPort address) {
        return byId.values().stream()
                .filter(target -> target.address().equals(address))
                .filter(target -> !target.isReplaced())
                .max(Comparator.comparingLong(target -> target.record().bornMillis()));
    }

    /** {@inheritDoc} */
    @Override
    public void onReplica(ReplicaRecord record, Optional<ReplicaRecord> before) {
        Target known = byId.get(record.id());
        if (known != null && known.record().sameLife(record)) {
            known.record(record);
        } else {
            Optional.ofNullable(known).ifPresent(Target::gone);
            byId.put(record.id(), new Target(record, pools.apply(record)));
        }
        replaceEarlierLives(record.address());
        boolean stateChanged = before.map(ReplicaRecord::draining).orElse(false) != record.draining();
        if (known == null || stateChanged) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "forward: replica id={0} service={1} draining={2}",
                    record.id(),
                    record.service(),
                    record.draining());
        }
    }

    /**
     * Failure: replicas lose power and start again at their addresses under new ids, and the rows of their earlier lives
     * stay listed until they lapse. Symptom: requests go to ids that are no more, are turned away, and use up the
     * retries. An address has one replica, so the one that began last is it.
     */
    private void replaceEarlierLives(HostPort address) {
        livingAt(address).ifPresent(living -> byId.values().stream()
                .filter(other -> other.address().equals(address))
                .filter(other -> other.record().bornMillis() < living.record().bornMillis())
                .forEach(Target::replaced));
    }

    /** {@inheritDoc} */
    @Override
    public void onGone(ReplicaRecord record) {
        Optional.ofNullable(byId.remove(record.id())).ifPresent(Target::gone);
    }
}
