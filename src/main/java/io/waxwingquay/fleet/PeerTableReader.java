package io.waxwingquay.fleet;

import io.waxwingquay.common.CallbackGuard;
import io.waxwingquay.common.HostPort;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Reads a table from a peer process when the local copy is stale and the store does not deliver the newer version.
 *
 * <p>Failure: the store rejects or ignores calls from some VMs while it serves the others and the operator. Symptom:
 * an entry on such a VM continues with a configuration that is no longer in force, and an entry that starts there
 * rejects every request. Processes exchange the versions that they hold, so a stale process reads the newer version
 * from a peer that has it. A version is adopted only if it is newer than the local one, so a table never goes back to
 * an older version.
 *
 * @param <T> the type of a row's value.
 * @param <V> the type of a version.
 */
public final class PeerTableReader<T, V extends Comparable<V>> {

    /** Pause between two reads, since the next peer may not have the newer version either. */
    private static final long RETRY_INTERVAL_MILLIS = 600L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.fleet");

    private final String name;
    private final LongSupplier stalenessLimitMillis;
    private final Function<HostPort, WatchedTable<T>> tableAtPeer;
    private final V noVersion;
    private final Supplier<V> ownVersion;
    private final Consumer<WatchedTable.Page<T>> pageConsumer;
    private final List<HostPort> seeds = new ArrayList<>();
    private Optional<HostPort> newestPeer = Optional.empty();
    private V newestVersion;
    private long staleSinceMillis = Long.MAX_VALUE;
    private long nextReadMillis = Long.MIN_VALUE;
    private int nextSeedIndex;
    private boolean reading;

    /**
     * Creates a reader that knows no peer.
     *
     * @param name the table's name, used in logs.
     * @param stalenessLimitMillis how long this process may be stale before it reads from a peer: the normal
     *     propagation time of the store, and 0 while the store is unreachable.
     * @param tableAtPeer opens the table as a peer holds it.
     * @param noVersion the version of a process that holds none; older than any other.
     * @param ownVersion the version that this process holds.
     * @param pageConsumer receives the rows read from a peer.
     */
    public PeerTableReader(
            String name,
            LongSupplier stalenessLimitMillis,
            Function<HostPort, WatchedTable<T>> tableAtPeer,
            V noVersion,
            Supplier<V> ownVersion,
            Consumer<WatchedTable.Page<T>> pageConsumer) {
        this.name = name;
        this.stalenessLimitMillis = stalenessLimitMillis;
        this.tableAtPeer = tableAtPeer;
        this.noVersion = noVersion;
        this.newestVersion = noVersion;
        this.ownVersion = ownVersion;
        this.pageConsumer = pageConsumer;
    }

    /**
     * Adds peers to ask while no version is known at all.
     *
     * @param peers the addresses at which they answer.
     */
    public void addSeeds(List<HostPort> peers) {
        seeds.addAll(peers);
    }

    /**
     * Records the version that a peer announced.
     *
     * @param version the version that the peer holds.
     * @param peer the address at which it answers.
     */
    public void recordPeerVersion(V version, HostPort peer) {
        if (version.compareTo(newestVersion) > 0) {
            newestVersion = version;
            newestPeer = Optional.of(peer);
        }
    }

    /**
     * Reads from a peer if this process has been stale for longer than the limit; called periodically.
     *
     * @param nowMillis the current monotonic time.
     */
    public void readIfStale(long nowMillis) {
        V own = ownVersion.get();
        if (own.compareTo(noVersion) > 0 && own.compareTo(newestVersion) >= 0) {
            staleSinceMillis = Long.MAX_VALUE;
            return;
        }
        staleSinceMillis = Math.min(staleSinceMillis, nowMillis);
        boolean isDue = nowMillis - staleSinceMillis >= stalenessLimitMillis.getAsLong() && nowMillis >= nextReadMillis;
        if (isDue && !reading) {
            nextReadMillis = nowMillis + RETRY_INTERVAL_MILLIS;
            newestPeer.or(this::nextSeed).ifPresent(this::readFrom);
        }
    }

    private Optional<HostPort> nextSeed() {
        return seeds.isEmpty() ? Optional.empty() : Optional.of(seeds.get(nextSeedIndex++ % seeds.size()));
    }

    private void readFrom(HostPort peer) {
        reading = true;
        tableAtPeer.apply(peer).readAll().whenComplete(CallbackGuard.of("copy of table " + name, (page, failure) -> {
            reading = false;
            if (failure != null) {
                LOG.log(
                        System.Logger.Level.INFO,
                        "fleet: copy not read table={0} from={1} cause={2}",
                        name,
                        peer,
                        failure.getMessage());
                newestPeer = Optional.empty();
                newestVersion = noVersion;
                return;
            }
            LOG.log(
                    System.Logger.Level.INFO,
                    "fleet: copy read table={0} from={1} version={2}",
                    name,
                    peer,
                    page.version());
            pageConsumer.accept(page);
            // The announcement counts as delivered, so that the same one does not cause another read.
            newestVersion = ownVersion.get();
        }));
    }
}
