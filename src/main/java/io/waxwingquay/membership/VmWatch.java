package io.waxwingquay.membership;

import io.waxwingquay.common.Clock;
import io.waxwingquay.store.VmList;
import io.waxwingquay.transport.Connections;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Announces this process to the platform's VM list, reads the list if this process is one of its readers, and probes
 * unresponsive sides and other sides of its service.
 *
 * <p>Only the first few processes of each data centre, ranked by hash, read the list; the others learn of changes by
 * gossip. If all 2,720 processes read it each second, they would exceed the table service's 2,000 reads per second.
 * While views of the membership differ, there may be a few more or fewer readers, which is harmless. A process that
 * knows no peer reads the list too, because it has no other source.
 *
 * <p>A list that goes backwards does not revert LEAVING, which is sticky within an epoch in {@link MemberTable}. A list
 * that still says leaving after the side restarted does not affect the new epoch: the flag applies only to the epoch
 * known when it first appeared.
 */
public final class VmWatch {

    private static final System.Logger LOG = System.getLogger("waxwingquay.membership");
    private static final int READERS_PER_DATA_CENTRE = 3;
    private static final int MAX_PROBES = 16;
    private static final String SIDE_ROLE = "side";

    private final VmList list;
    private final MemberTable table;
    private final Peers peers;
    private final Connections connections;
    private final Clock clock;
    private final RandomGenerator random;
    private final VmList.Vm self;
    private final long intervalMillis;
    private final Map<String, Long> leavingEpochs = new HashMap<>();
    private volatile long lastReadMillis = Long.MIN_VALUE;

    /**
     * Creates a watch that has not been started.
     *
     * @param list the platform's VM list.
     * @param peers the known peers; their member table is kept up to date.
     * @param connections the connections for probes.
     * @param clock the clock.
     * @param random the source of randomness for the first delay and the choice of probed sides.
     * @param self this process as it is announced.
     * @param intervalMillis the interval between rounds.
     */
    public VmWatch(
            VmList list,
            Peers peers,
            Connections connections,
            Clock clock,
            RandomGenerator random,
            VmList.Vm self,
            long intervalMillis) {
        this.list = list;
        this.peers = peers;
        this.table = peers.table();
        this.connections = connections;
        this.clock = clock;
        this.random = random;
        this.self = self;
        this.intervalMillis = intervalMillis;
    }

    /**
     * Runs one round: announces this process, reads the list if this process is a reader, probes sides and expires
     * records.
     *
     * @return a future that completes when the round is done; it does not fail.
     */
    public CompletableFuture<Void> round() {
        CompletableFuture<Void> announced = list.announce(self).exceptionally(VmWatch::noteAnnounceFailure);
        CompletableFuture<Void> listed = isReader() ? readList() : skipList();
        CompletableFuture<?>[] probes = Stream.concat(
                        table.dueForProbe().stream().limit(MAX_PROBES), servicePeers().stream())
                .map(this::probe)
                .toArray(CompletableFuture[]::new);
        return CompletableFuture.allOf(announced, listed, CompletableFuture.allOf(probes))
                .thenRun(table::expire);
    }

    /**
     * Runs rounds periodically until closed.
     *
     * @param scheduler the scheduler that runs the rounds.
     * @return a handle that stops the rounds when closed.
     */
    public AutoCloseable start(ScheduledExecutorService scheduler) {
        // The random first delay spreads the rounds of processes that start together, as after the restart of a rack.
        long firstMillis = random.nextLong(intervalMillis) + 1;
        var task = scheduler.scheduleAtFixedRate(this::runRound, firstMillis, intervalMillis, TimeUnit.MILLISECONDS);
        return () -> task.cancel(false);
    }

    /**
     * Checks whether this process reads the list.
     *
     * @return whether it is among the first processes of its data centre by hash.
     */
    public boolean isReader() {
        List<Peers.Peer> knownPeers = peers.all();
        long ownRank = rank(self.name());
        long higherRanked = knownPeers.stream()
                .filter(peer -> peer.dataCentre().equals(self.dataCentre()))
                .map(Peers.Peer::id)
                .distinct()
                .filter(name -> ranksBefore(name, ownRank))
                .limit(READERS_PER_DATA_CENTRE)
                .count();
        return higherRanked < READERS_PER_DATA_CENTRE;
    }

    /**
     * Returns when this process last read the list, for the state dump.
     *
     * @return monotonic milliseconds, or {@link Long#MIN_VALUE} if never.
     */
    public long lastReadMillis() {
        return lastReadMillis;
    }

    private CompletableFuture<Void> readList() {
        return list.list().handle((vms, failure) -> {
            if (failure == null) {
                applyList(vms);
            } else {
                table.noteListUnavailable();
            }
            return null;
        });
    }

    private synchronized void applyList(List<VmList.Vm> vms) {
        lastReadMillis = clock.monotonicMillis();
        peers.noteListed(vms);
        List<VmList.Vm> sides =
                vms.stream().filter(vm -> SIDE_ROLE.equals(vm.role())).toList();
        table.noteListed(sides.stream().map(VmList.Vm::name).collect(Collectors.toSet()));
        Set<String> leaving = new HashSet<>();
        sides.stream().filter(VmList.Vm::leaving).map(VmList.Vm::name).forEach(leaving::add);
        leavingEpochs.keySet().retainAll(leaving);
        leaving.forEach(this::noteLeaving);
    }

    private void noteLeaving(String name) {
        table.side(name).ifPresent(side -> {
            long epoch = leavingEpochs.computeIfAbsent(name, ignored -> side.epoch());
            table.noteLeaving(name, epoch);
        });
    }

    // A process that is not a reader resets its unlisted times. Otherwise, after it stops being a reader, they would
    // keep growing although the VM may be listed again without this process noticing.
    private CompletableFuture<Void> skipList() {
        table.noteListUnavailable();
        return CompletableFuture.completedFuture(null);
    }

    // Placement relies on reachability. While the list is unavailable, a dead side can only be detected by its missing
    // answers, so the sides of a service probe each other: all of them in a small service, a random few in a large one.
    private List<Side> servicePeers() {
        String service = table.side(self.name()).map(Side::service).orElse("");
        List<Side> reachable = new ArrayList<>(table.sides().stream()
                .filter(side -> side.service().equals(service))
                .filter(side -> side.reachable() && !side.id().equals(self.name()))
                .toList());
        Collections.shuffle(reachable, new Random(random.nextLong()));
        return reachable.stream().limit(MAX_PROBES).toList();
    }

    private CompletableFuture<Void> probe(Side side) {
        return connections.to(side.address()).ping().handle((answer, failure) -> {
            table.noteReached(side.id(), side.epoch(), failure == null);
            return null;
        });
    }

    private void runRound() {
        try {
            round();
        } catch (RuntimeException failure) {
            LOG.log(System.Logger.Level.WARNING, "membership: a round over the VM list failed.", failure);
        }
    }

    private static Void noteAnnounceFailure(Throwable failure) {
        LOG.log(System.Logger.Level.DEBUG, "membership: cannot announce this process to the VM list.", failure);
        return null;
    }

    // Hashes each name once: sorting by hash took milliseconds for 2,400 sides in each round of each process.
    private boolean ranksBefore(String name, long ownRank) {
        long rank = rank(name);
        return rank < ownRank || rank == ownRank && name.compareTo(self.name()) < 0;
    }

    private static long rank(String name) {
        return MurmurHash3.hash128x64(name.getBytes(StandardCharsets.UTF_8))[0];
    }
}
