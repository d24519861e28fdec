package io.waxwingquay.membership;

import io.micrometer.core.instrument.MeterRegistry;
import io.waxwingquay.common.Clock;
import io.waxwingquay.suspect.SuspectRegistry;
import io.waxwingquay.transport.Connections;
import io.waxwingquay.transport.generated.GossipAnswer;
import io.waxwingquay.transport.generated.GossipRequest;
import io.waxwingquay.transport.generated.SideRecord;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Disseminates side records, suspects and the newest bundle version between processes by gossip.
 *
 * <p>Each round pushes recent changes and one combined hash to a few peers (rumour mongering). If the combined hashes
 * differ, the two processes compare buckets and then digests (anti-entropy). Comparisons are limited to one per
 * interval, because hashes differ in any case while changes are still spreading. Rounds are frequent while there is an
 * urgent change (a new bundle, a leaving side, a suspect), less frequent while there are other changes, and rare when
 * idle.
 *
 * <p>Idle cost: each process asks one peer every 2 s and is asked as often. A test with 200 processes measures 26
 * bytes/s sent and as many received, out of the 9 KB/s that a node may use. docs/DESIGN.md lists the cost of changes.
 */
public final class Gossip {

    private static final System.Logger LOG = System.getLogger("waxwingquay.membership");
    private static final double REMOTE_PICK_PROBABILITY = 0.25;
    private static final int MAX_EXCHANGES = 4;

    private final GossipContext context;
    private final GossipHandler handler;
    private final Rumours rumours;
    private final Connections connections;
    private final Clock clock;
    private final Timing timing;
    private volatile long urgentUntilMillis = Long.MIN_VALUE;
    private volatile long lastComparedMillis = Long.MIN_VALUE / 2;
    private volatile long lastBundleVersion;
    private volatile int lastSuspectsHash;

    private Gossip(Builder builder) {
        this.context = builder.context();
        this.handler = new GossipHandler(context);
        this.rumours = new Rumours(context.table());
        this.connections = builder.connections;
        this.clock = builder.clock;
        this.timing = builder.timing;
        context.table().onChange(this::noteChange);
    }

    /**
     * Creates a builder of gossip between this process and its peers.
     *
     * @param table the side records.
     * @param peers the peers to gossip with.
     * @param connections the connections to them.
     * @return a builder.
     */
    public static Builder over(MemberTable table, Peers peers, Connections connections) {
        return new Builder(table, peers, connections);
    }

    /**
     * Returns the handler that answers the gossip requests of peers.
     *
     * @return the handler of this process.
     */
    public GossipHandler handler() {
        return handler;
    }

    /** Shortens the interval of the next rounds, for a change that must reach every process within seconds. */
    public void expedite() {
        urgentUntilMillis = clock.monotonicMillis() + timing.urgentDurationMillis();
    }

    /**
     * Returns how long to wait before the next round.
     *
     * @return the delay in milliseconds.
     */
    public long nextDelayMillis() {
        expediteOnUrgentChange();
        if (isUrgent()) {
            return timing.urgentIntervalMillis();
        }
        return rumours.isEmpty() ? timing.idleIntervalMillis() : timing.changeIntervalMillis();
    }

    /**
     * Runs one round.
     *
     * @return a future that completes when every contacted peer has answered or failed; it does not fail itself.
     */
    public CompletableFuture<Void> round() {
        expediteOnUrgentChange();
        boolean isIdle = rumours.isEmpty() && !isUrgent();
        int fanOut = isUrgent() ? timing.urgentFanOut() : isIdle ? 1 : timing.changeFanOut();
        List<Peers.Peer> peers;
        synchronized (context.random()) {
            peers = context.peers().pick(fanOut, REMOTE_PICK_PROBABILITY, context.random());
        }
        List<SideRecord> changes = peers.isEmpty() ? List.of() : rumours.take(context.maxRecordBytes(), peers.size());
        return CompletableFuture.allOf(
                peers.stream().map(peer -> pushTo(peer, changes)).toArray(CompletableFuture[]::new));
    }

    /**
     * Runs rounds periodically until closed.
     *
     * @param scheduler the scheduler that runs the rounds.
     * @return a handle that stops the rounds when closed.
     */
    public AutoCloseable start(ScheduledExecutorService scheduler) {
        Loop loop = new Loop(scheduler);
        loop.schedule();
        return loop;
    }

    private CompletableFuture<Void> pushTo(Peers.Peer peer, List<SideRecord> changes) {
        GossipRequest request = request(List.of(context.table().combinedHash()), changes);
        return ask(peer, request)
                .thenCompose(answer -> answer.getWantedBucketsSize() > 0 && tryStartComparison()
                        ? compare(peer, MAX_EXCHANGES)
                        : CompletableFuture.<Void>completedFuture(null))
                .handle((done, failure) -> {
                    context.peers().noteOutcome(peer, failure == null);
                    return null;
                });
    }

    private CompletableFuture<Void> compare(Peers.Peer peer, int exchangesLeft) {
        return ask(peer, request(context.table().bucketHashes(), List.of()))
                .thenCompose(answer -> answer.getWantedBucketsSize() == 0
                        ? CompletableFuture.<Void>completedFuture(null)
                        : exchangeDigests(peer, answer.getWantedBuckets(), exchangesLeft));
    }

    private CompletableFuture<Void> exchangeDigests(Peers.Peer peer, List<Integer> buckets, int exchangesLeft) {
        List<Long> all = context.table().bucketHashes();
        List<Long> hashes = new ArrayList<>(Collections.nCopies(all.size(), GossipHandler.NOT_COMPARED));
        buckets.forEach(bucket -> hashes.set(bucket, all.get(bucket)));
        List<SideRecord> digests = context.table().recordsIn(buckets).stream()
                .map(GossipHandler::digestOf)
                .toList();
        return ask(peer, request(hashes, digests)).thenCompose(answer -> {
            CompletableFuture<Void> sent = sendWanted(peer, answer);
            boolean mayHaveMore = answer.getSidesSize() > 0 && exchangesLeft > 1;
            return mayHaveMore ? sent.thenCompose(done -> compare(peer, exchangesLeft - 1)) : sent;
        });
    }

    private CompletableFuture<Void> sendWanted(Peers.Peer peer, GossipAnswer answer) {
        List<SideRecord> wanted = answer.getSides().stream()
                .filter(record -> record.getHost() == null)
                .flatMap(digest -> context.table().record(digest.getSideId()).stream())
                .toList();
        return wanted.isEmpty()
                ? CompletableFuture.completedFuture(null)
                : ask(peer, request(List.of(), context.limitSize(wanted))).thenApply(done -> null);
    }

    private CompletableFuture<GossipAnswer> ask(Peers.Peer peer, GossipRequest request) {
        return connections.to(peer.address()).gossip(request).thenApply(answer -> {
            context.traffic().countInitiated(request, answer);
            context.noteBundleVersion(answer.getBundleVersion(), peer.address());
            context.suspects().merge(answer.getSuspects());
            context.table().merge(answer.getSides());
            return answer;
        });
    }

    private GossipRequest request(List<Long> hashes, List<SideRecord> sides) {
        Peers.Peer self = context.peers().self();
        return new GossipRequest(
                self.id(),
                self.address().host(),
                self.address().port(),
                context.bundleVersion().getAsLong(),
                hashes,
                sides,
                context.suspectsToSend());
    }

    private boolean tryStartComparison() {
        long nowMillis = clock.monotonicMillis();
        boolean isDue = nowMillis - lastComparedMillis >= timing.compareIntervalMillis();
        if (isDue) {
            lastComparedMillis = nowMillis;
        }
        return isDue;
    }

    private void noteChange(SideRecord record) {
        rumours.add(record);
        if (Rumours.isUrgent(record)) {
            expedite();
        }
    }

    private void expediteOnUrgentChange() {
        long version = context.bundleVersion().getAsLong();
        int suspectsHash = context.suspectsHash();
        if (version > lastBundleVersion || suspectsHash != lastSuspectsHash) {
            lastBundleVersion = version;
            lastSuspectsHash = suspectsHash;
            expedite();
        }
    }

    private boolean isUrgent() {
        return clock.monotonicMillis() < urgentUntilMillis;
    }

    /**
     * The intervals and fan-outs of gossip rounds.
     *
     * @param urgentIntervalMillis the interval between rounds while there is an urgent change.
     * @param urgentDurationMillis how long a change stays urgent.
     * @param urgentFanOut the number of peers per round while there is an urgent change.
     * @param changeIntervalMillis the interval between rounds while there are other changes.
     * @param changeFanOut the number of peers per round while there are other changes.
     * @param idleIntervalMillis the interval between rounds while there are no changes.
     * @param compareIntervalMillis the minimum interval between comparisons of buckets.
     */
    public record Timing(
            long urgentIntervalMillis,
            long urgentDurationMillis,
            int urgentFanOut,
            long changeIntervalMillis,
            int changeFanOut,
            long idleIntervalMillis,
            long compareIntervalMillis) {

        /** The default timing, for a few thousand processes and 9 KB/s per process. */
        public static final Timing DEFAULT = new Timing(250, 2_500, 3, 1_000, 2, 2_000, 10_000);

        /**
         * Returns a copy with another interval for urgent changes.
         *
         * @param millis the interval between rounds while there is an urgent change.
         * @return the changed timing.
         */
        public Timing withUrgentIntervalMillis(long millis) {
            return new Timing(
                    millis,
                    urgentDurationMillis,
                    urgentFanOut,
                    changeIntervalMillis,
                    changeFanOut,
                    idleIntervalMillis,
                    compareIntervalMillis);
        }
    }

    private final class Loop implements AutoCloseable {

        private final ScheduledExecutorService scheduler;
        private volatile boolean isClosed;

        private Loop(ScheduledExecutorService scheduler) {
            this.scheduler = scheduler;
        }

        // Checks at every urgent interval whether a round is due, so that an urgent change does not wait for the end
        // of an idle interval.
        private void schedule() {
            long lastRoundMillis = clock.monotonicMillis();
            scheduler.schedule(() -> runIfDue(lastRoundMillis), timing.urgentIntervalMillis(), TimeUnit.MILLISECONDS);
        }

        private void runIfDue(long lastRoundMillis) {
            if (isClosed) {
                return;
            }
            if (clock.monotonicMillis() - lastRoundMillis < nextDelayMillis()) {
                scheduler.schedule(
                        () -> runIfDue(lastRoundMillis), timing.urgentIntervalMillis(), TimeUnit.MILLISECONDS);
                return;
            }
            runRound();
            schedule();
        }

        private void runRound() {
            try {
                round();
            } catch (RuntimeException failure) {
                LOG.log(System.Logger.Level.WARNING, "membership: a gossip round failed.", failure);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void close() {
            isClosed = true;
        }
    }

    /** A builder of {@link Gossip}. */
    public static final class Builder {

        private static final int DEFAULT_MAX_RECORD_BYTES = 8 * 1024;

        private final MemberTable table;
        private final Peers peers;
        private final Connections connections;
        private SuspectRegistry suspects;
        private MeterRegistry registry;
        private LongSupplier bundleVersion = () -> 0;
        private BundleVersionListener bundleVersionListener = (version, from) -> {};
        private Clock clock = Clock.SYSTEM;
        private RandomGenerator random = RandomGenerator.getDefault();
        private Timing timing = Timing.DEFAULT;
        private int maxRecordBytes = DEFAULT_MAX_RECORD_BYTES;

        private Builder(MemberTable table, Peers peers, Connections connections) {
            this.table = table;
            this.peers = peers;
            this.connections = connections;
        }

        /**
         * Sets the suspects that are disseminated with the side records.
         *
         * @param newSuspects the suspects of this process.
         * @return this builder.
         */
        public Builder withSuspects(SuspectRegistry newSuspects) {
            this.suspects = newSuspects;
            return this;
        }

        /**
         * Sets the source of the local bundle version and the listener for higher versions.
         *
         * @param newBundleVersion supplies the version in force in this process.
         * @param newListener notified when a peer has a higher version.
         * @return this builder.
         */
        public Builder withBundleVersion(LongSupplier newBundleVersion, BundleVersionListener newListener) {
            this.bundleVersion = newBundleVersion;
            this.bundleVersionListener = newListener;
            return this;
        }

        /**
         * Sets the clock and the source of randomness.
         *
         * @param newClock the clock.
         * @param newRandom the source of randomness for the selection of peers and samples.
         * @return this builder.
         */
        public Builder withClockAndRandom(Clock newClock, RandomGenerator newRandom) {
            this.clock = newClock;
            this.random = newRandom;
            return this;
        }

        /**
         * Sets the intervals and fan-outs.
         *
         * @param newTiming the intervals and fan-outs.
         * @return this builder.
         */
        public Builder withTiming(Timing newTiming) {
            this.timing = newTiming;
            return this;
        }

        /**
         * Sets the intervals, the fan-outs and the size limit of a message.
         *
         * @param newTiming the intervals and fan-outs.
         * @param newMaxRecordBytes the maximum size of the records in a message.
         * @return this builder.
         */
        public Builder withTiming(Timing newTiming, int newMaxRecordBytes) {
            this.timing = newTiming;
            this.maxRecordBytes = newMaxRecordBytes;
            return this;
        }

        /**
         * Sets the registry of the traffic counters.
         *
         * @param newRegistry the registry.
         * @return this builder.
         */
        public Builder withMeterRegistry(MeterRegistry newRegistry) {
            this.registry = newRegistry;
            return this;
        }

        /**
         * Builds the gossip.
         *
         * @return gossip that has not been started.
         */
        public Gossip build() {
            Objects.requireNonNull(suspects, "suspects");
            Objects.requireNonNull(registry, "registry");
            return new Gossip(this);
        }

        private GossipContext context() {
            return new GossipContext(
                    table,
                    peers,
                    suspects,
                    bundleVersion,
                    bundleVersionListener,
                    random,
                    new GossipTraffic(registry),
                    maxRecordBytes);
        }
    }
}
