package io.waxwingquay.fleet;

import io.waxwingquay.common.HostPort;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Reads a table from another process of ours when the store does not give it here.
 *
 * <p>Failure: the store turns some VMs away, or goes silent for them, and serves the others and the operator. Symptom:
 * an entry there goes on by a configuration that is no longer in force, and one that starts there refuses everything.
 * Processes tell each other which versions they have, so one that stays behind reads the newer one where it is; a
 * version is taken only if it is newer than the own, so nothing goes back.
 *
 * @param <T> what a row holds.
 */
public final class PeerTableReader<T> {

    /** Pause between two tries; another process may know as little. */
    private static final long RETRY_INTERVAL_MILLIS = 600L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.fleet");

    private final String name;
    private final LongSupplier stalenessLimitMillis;
    private final Function<HostPort, WatchedTable<T>> tableAtPeer;
    private final LongSupplier ownVersion;
    private final Consumer<WatchedTable.Page<T>> pageConsumer;
    private final List<HostPort> seeds = new ArrayList<>();
    private Optional<HostPort> newestPeer = Optional.empty();
    private long newestVersion;
    private long staleSinceMillis = Long.MAX_VALUE;
    private long nextReadMillis = Long.MIN_VALUE;
    private int nextSeedIndex;
    private boolean reading;

    /**
     * A reader that knows of no other process.
     *
     * @param name the table's name, for logs.
     * @param stalenessLimitMillis how long this process may be behind before it reads elsewhere: what the store normally takes,
     *     and nothing while the store is lost.
     * @param tableAtPeer the table as another process has it.
     * @param ownVersion the version that this process has, 0 if none.
     * @param pageConsumer takes what was read.
     */
    public PeerTableReader(
            String name,
            LongSupplier stalenessLimitMillis,
            Function<HostPort, WatchedTable<T>> tableAtPeer,
            LongSupplier ownVersion,
            Consumer<WatchedTable.Page<T>> pageConsumer) {
        this.name = name;
        this.stalenessLimitMillis = stalenessLimitMillis;
        this.tableAtPeer = tableAtPeer;
        this.ownVersion = ownVersion;
        this.pageConsumer = pageConsumer;
    }

    /**
     * Names processes to ask while nothing at all is known here.
     *
     * @param peers where they answer.
     */
    public void addSeeds(List<HostPort> peers) {
        seeds.addAll(peers);
    }

    /**
     * Another process has told which version it has.
     *
     * @param version the version.
     * @param peer where it answers.
     */
    public void recordPeerVersion(long version, HostPort peer) {
        if (version > newestVersion) {
            newestVersion = version;
            newestPeer = Optional.of(peer);
        }
    }

    /**
     * Looks whether this process has been behind for too long, and reads elsewhere if so; called now and then.
     *
     * @param nowMillis the steady time.
     */
    public void readIfStale(long nowMillis) {
        long own = ownVersion.getAsLong();
        if (own > 0 && own >= newestVersion) {
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
        tableAtPeer.apply(peer).readAll().whenComplete((page, failure) -> {
            reading = false;
            if (failure != null) {
                LOG.log(
                        System.Logger.Level.INFO,
                        "fleet: copy not read table={0} from={1} cause={2}",
                        name,
                        peer,
                        failure.getMessage());
                newestPeer = Optional.empty();
                newestVersion = 0;
                return;
            }
            LOG.log(
                    System.Logger.Level.INFO,
                    "fleet: copy read table={0} from={1} version={2}",
                    name,
                    peer,
                    Long.toString(page.version()));
            pageConsumer.accept(page);
            // What the other said last is what it has given.
            newestVersion = ownVersion.getAsLong();
        });
    }
}
