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
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The incarnations of replicas to which this entry sends requests. What was known of an incarnation is dropped with it.
 */
final class TargetTable implements ReplicaDirectory.Listener {

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final Function<ReplicaRecord, ClientPool> poolFactory;
    private final Map<String, Target> byId = new HashMap<>();

    /** Index for the lookup of each request and each status update; rebuilt after a change. */
    private Optional<Index> index = Optional.empty();

    TargetTable(Function<ReplicaRecord, ClientPool> poolFactory) {
        this.poolFactory = poolFactory;
    }

    Collection<Target> all() {
        return byId.values();
    }

    List<Target> ofService(String service) {
        return index().byService.getOrDefault(service, List.of());
    }

    /** Returns the number of replicas of a service. */
    int replicaCount(String service) {
        return ofService(service).size();
    }

    /** Returns the replica that has an address now. */
    Optional<Target> currentAt(HostPort address) {
        return Optional.ofNullable(index().byAddress.get(address)).filter(target -> !target.isReplaced());
    }

    private Index index() {
        if (index.isEmpty()) {
            index = Optional.of(Index.of(byId.values()));
        }
        return index.get();
    }

    /** {@inheritDoc} */
    @Override
    public void onListed(ReplicaRecord record, Optional<ReplicaRecord> before) {
        Target known = byId.get(record.id());
        if (known != null && known.record().isSameIncarnation(record)) {
            known.record(record);
        } else {
            Optional.ofNullable(known).ifPresent(Target::markGone);
            byId.put(record.id(), new Target(record, poolFactory.apply(record)));
        }
        index = Optional.empty();
        replaceEarlierIncarnations(record.address());
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
     * Marks earlier incarnations at an address as replaced. Replicas that lose power restart at their addresses under
     * new ids, while the rows of their earlier incarnations stay listed until they expire. Requests to the old ids
     * would be rejected and use up the retries. An address has one replica, which is the one that started last.
     */
    private void replaceEarlierIncarnations(HostPort address) {
        currentAt(address).ifPresent(current -> byId.values().stream()
                .filter(other -> other.address().equals(address))
                .filter(other -> other.record().bornMillis() < current.record().bornMillis())
                .forEach(Target::markReplaced));
        index = Optional.empty();
    }

    /** {@inheritDoc} */
    @Override
    public void onUnlisted(ReplicaRecord record) {
        Optional.ofNullable(byId.get(record.id())).ifPresent(Target::markUnlisted);
    }

    /** {@inheritDoc} */
    @Override
    public void onRemoved(ReplicaRecord record) {
        Optional.ofNullable(byId.remove(record.id())).ifPresent(Target::markGone);
        index = Optional.empty();
    }

    private record Index(Map<String, List<Target>> byService, Map<HostPort, Target> byAddress) {

        private static Index of(Collection<Target> targets) {
            Map<HostPort, Target> currentByAddress = targets.stream()
                    .filter(target -> !target.isReplaced())
                    .collect(Collectors.toMap(
                            Target::address,
                            target -> target,
                            BinaryOperator.maxBy(Comparator.comparingLong(
                                    target -> target.record().bornMillis()))));
            Map<String, List<Target>> byService = targets.stream()
                    .collect(Collectors.groupingBy(target -> target.record().service()));
            return new Index(byService, currentByAddress);
        }
    }
}
