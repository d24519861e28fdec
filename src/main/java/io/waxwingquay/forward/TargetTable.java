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
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The incarnations of replicas to which this entry sends requests. What was known of an incarnation is dropped with it,
 * except for its own announcements.
 */
final class TargetTable implements ReplicaDirectory.Listener {

    /** How long the announcements of an unlisted incarnation are kept, well beyond the exit of a leaving replica. */
    static final long ANNOUNCEMENT_RETENTION_MILLIS = 600_000L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final Function<ReplicaRecord, ClientPool> poolFactory;
    private final LongSupplier clockMillis;
    private final Predicate<String> isNamedService;
    private final Predicate<String> isEngineService;
    private final Map<String, Target> byId = new HashMap<>();
    private final Map<Incarnation, Departed> departed = new HashMap<>();

    /** Index for the lookup of each request and each status update; rebuilt after a change. */
    private Optional<Index> index = Optional.empty();

    TargetTable(
            Function<ReplicaRecord, ClientPool> poolFactory,
            LongSupplier clockMillis,
            Predicate<String> isNamedService,
            Predicate<String> isEngineService) {
        this.isEngineService = isEngineService;
        this.poolFactory = poolFactory;
        this.clockMillis = clockMillis;
        this.isNamedService = isNamedService;
    }

    /** Notes that the configuration, which names the services, has changed, or which replica answers at an address. */
    void reassign() {
        index = Optional.empty();
    }

    Collection<Target> all() {
        index();
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
        return Optional.ofNullable(index().byAddress.get(address));
    }

    private Index index() {
        if (index.isEmpty()) {
            index = Optional.of(Index.of(byId.values(), isNamedService));
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
            Optional.ofNullable(known).ifPresent(this::remove);
            byId.put(
                    record.id(),
                    new Target(record, poolFactory.apply(record), announcementsOf(record), isEngineService));
        }
        index = Optional.empty();
        boolean stateChanged = before.map(ReplicaRecord::draining).orElse(false) != record.draining();
        if (known == null || stateChanged) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "forward: replica id={0} service={1} software={2} draining={3}",
                    record.id(),
                    record.service(),
                    record.softwareVersion(),
                    record.draining());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onUnlisted(ReplicaRecord record) {
        Optional.ofNullable(byId.get(record.id())).ifPresent(Target::markUnlisted);
    }

    /** {@inheritDoc} */
    @Override
    public void onRemoved(ReplicaRecord record) {
        Optional.ofNullable(byId.remove(record.id())).ifPresent(this::remove);
        index = Optional.empty();
    }

    private void remove(Target target) {
        target.markGone();
        long nowMillis = clockMillis.getAsLong();
        departed.values().removeIf(each -> nowMillis - each.removedMillis > ANNOUNCEMENT_RETENTION_MILLIS);
        departed.put(Incarnation.of(target.record()), new Departed(target.announcements(), nowMillis));
    }

    /**
     * Returns what an incarnation has announced so far. A row may be dropped and listed again while its replica lives,
     * and an announcement that is lost with the row would have requests sent to a replica that is about to exit.
     */
    private ReplicaAnnouncements announcementsOf(ReplicaRecord record) {
        return Optional.ofNullable(departed.remove(Incarnation.of(record)))
                .map(Departed::announcements)
                .orElseGet(ReplicaAnnouncements::new);
    }

    private record Incarnation(String id, long bornMillis, HostPort address) {

        private static Incarnation of(ReplicaRecord record) {
            return new Incarnation(record.id(), record.bornMillis(), record.address());
        }
    }

    private record Departed(ReplicaAnnouncements announcements, long removedMillis) {}

    /**
     * The targets by service, and the one that has an address. Replicas that lose power restart at their addresses under new
     * ids, while the rows of their earlier incarnations stay listed until they expire; requests to the old ids would be
     * rejected and use up the retries. So an address has one replica, the one that started last. A row whose service the
     * configuration does not name is that of no replica, and replaces none.
     */
    private record Index(Map<String, List<Target>> byService, Map<HostPort, Target> byAddress) {

        private static Index of(Collection<Target> targets, Predicate<String> isNamedService) {
            Map<HostPort, Target> currentByAddress = targets.stream()
                    .filter(target -> !target.isReplaced())
                    .filter(target -> isNamedService.test(target.record().service()))
                    .collect(Collectors.toMap(
                            Target::address,
                            target -> target,
                            BinaryOperator.maxBy(Comparator.comparingLong(
                                    target -> target.record().bornMillis()))));
            targets.forEach(target -> target.hasSuccessor(Optional.ofNullable(currentByAddress.get(target.address()))
                    .filter(current ->
                            target.record().bornMillis() < current.record().bornMillis())
                    .isPresent()));
            Map<String, List<Target>> byService = targets.stream()
                    .collect(Collectors.groupingBy(target -> target.record().service()));
            return new Index(byService, currentByAddress);
        }
    }
}
