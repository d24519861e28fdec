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
    private static final long PAUSE_MILLIS = 600L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.fleet");

    private final String name;
    private final LongSupplier patienceMillis;
    private final Function<HostPort, WatchedTable<T>> tables;
    private final LongSupplier ownVersion;
    private final Consumer<WatchedTable.Page<T>> adopter;
    private final List<HostPort> seeds = new ArrayList<>();
    private Optional<HostPort> holder = Optional.empty();
    private long newestVersion;
    private long behindSinceMillis = Long.MAX_VALUE;
    private long nextTryMillis = Long.MIN_VALUE;
    private int nextSeed;
    private boolean reading;

    /**
     * A reader that knows of no other process.
     *
     * @param name the table's name, for logs.
     * @param patienceMillis how long this process may be behind before it reads elsewhere: what the store normally takes,
     *     and nothing while the store is lost.
     * @param tables the table as another process has it.
     * @param ownVersion the version that this process has, 0 if none.
     * @param adopter takes what was read.
     */
    public PeerTableReader(
            String name,
            LongSupplier patienceMillis,
            Function<HostPort, WatchedTable<T>> tables,
            LongSupplier ownVersion,
            Consumer<WatchedTable.Page<T>> adopter) {
        this.name = name;
        this.patienceMillis = patienceMillis;
        this.tables = tables;
        this.ownVersion = ownVersion;
        this.adopter = adopter;
    }

    /**
     * Names processes to ask while nothing at all is known here.
     *
     * @param processes where they answer.
     */
    public void addSeeds(List<HostPort> processes) {
        seeds.addAll(processes);
    }

    /**
     * Another process has told which version it has.
     *
     * @param version the version.
     * @param process where it answers.
     */
    public void recordPeerVersion(long version, HostPort process) {
        if (version > newestVersion) {
            newestVersion = version;
            holder = Optional.of(process);
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
            behindSinceMillis = Long.MAX_VALUE;
            return;
        }
        behindSinceMillis = Math.min(behindSinceMillis, nowMillis);
        boolean isDue = nowMillis - behindSinceMillis >= patienceMillis.getAsLong() && nowMillis >= nextTryMillis;
        if (isDue && !reading) {
            nextTryMillis = nowMillis + PAUSE_MILLIS;
            holder.or(this::seed).ifPresent(this::read);
        }
    }

    private Optional<HostPort> seed() {
        return seeds.isEmpty() ? Optional.empty() : Optional.of(seeds.get(nextSeed++ % seeds.size()));
    }

    private void read(HostPort process) {
        reading = true;
        tables.apply(process).readAll().whenComplete((page, failure) -> {
            reading = false;
            if (failure != null) {
                LOG.log(
                        System.Logger.Level.INFO,
                        "fleet: copy not read table={0} from={1} cause={2}",
                        name,
                        process,
                        failure.getMessage());
                holder = Optional.empty();
                newestVersion = 0;
                return;
            }
            LOG.log(
                    System.Logger.Level.INFO,
                    "fleet: copy read table={0} from={1} version={2}",
                    name,
                    process,
                    Long.toString(page.version()));
            adopter.accept(page);
            // What the other said last is what it has given.
            newestVersion = ownVersion.getAsLong();
        });
    }
}
