package io.waxwingquay.membership;

import io.micrometer.core.instrument.MeterRegistry;
import io.waxwingquay.common.Clock;
import io.waxwingquay.suspect.SuspectBook;
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
 * Spreads side records, suspects and the number of the newest bundle between processes.
 *
 * <p>A round sends recent changes and one combined hash to a few peers. Only when nothing is new and the combined
 * hashes differ are buckets and then digests compared, and at most once in an interval, as hashes differ anyway while
 * changes are on their way. Rounds are quick while there is urgent news (a new bundle, a side that leaves, a
 * suspect), slower
 * while there are other changes, and slow when idle.
 *
 * <p>Idle cost: each process asks one peer every 2 s and is asked as often; a test of 200 processes measures 26 bytes
 * a second sent and as many received, of the 9 KB/s a node may use. The figures for news stand in
 * docs/DESIGN.md.
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

    private Gossip(Builder wiring) {
        this.context = wiring.context();
        this.handler = new GossipHandler(context);
        this.rumours = new Rumours(context.table());
        this.connections = wiring.connections;
        this.clock = wiring.clock;
        this.timing = wiring.timing;
        context.table().onChange(this::noteChange);
    }

    /**
     * Starts the wiring of gossip.
     *
     * @param table the side records.
     * @param peers whom to ask.
     * @param connections connections to them.
     * @return a builder.
     */
    public static Builder over(MemberTable table, Peers peers, Connections connections) {
        return new Builder(table, peers, connections);
    }

    /**
     * The end that answers.
     *
     * @return the handler of this process.
     */
    public GossipHandler handler() {
        return handler;
    }

    /** Makes the next rounds quick, for news that must be everywhere within seconds. */
    public void expedite() {
        urgentUntilMillis = clock.monotonicMillis() + timing.urgentDurationMillis();
    }

    /**
     * How long to wait before the next round.
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
     * One round.
     *
     * @return completes when every peer asked has answered or failed; does not fail.
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
     * Runs rounds until closed.
     *
     * @param scheduler runs them.
     * @return stops the rounds when closed.
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
     * Intervals and fan-outs.
     *
     * @param urgentIntervalMillis between rounds while there is urgent news.
     * @param urgentDurationMillis how long news stays urgent.
     * @param urgentFanOut peers a round while urgent.
     * @param changeIntervalMillis between rounds while there are other changes.
     * @param changeFanOut peers a round while there are other changes.
     * @param idleIntervalMillis between rounds when nothing is new.
     * @param compareIntervalMillis between comparisons of buckets.
     */
    public record Timing(
            long urgentIntervalMillis,
            long urgentDurationMillis,
            int urgentFanOut,
            long changeIntervalMillis,
            int changeFanOut,
            long idleIntervalMillis,
            long compareIntervalMillis) {

        /** For a few thousand processes and 9 KB/s each. */
        public static final Timing DEFAULT = new Timing(250, 2_500, 3, 1_000, 2, 2_000, 10_000);

        /**
         * The same with another interval while something urgent is new.
         *
         * @param millis between rounds.
         * @return the changed pace.
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

        // The wait is cut into urgent intervals, so that urgent news does not sit out an idle wait.
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

    /** Wiring of gossip. */
    public static final class Builder {

        private static final int DEFAULT_MAX_RECORD_BYTES = 8 * 1024;

        private final MemberTable table;
        private final Peers peers;
        private final Connections connections;
        private SuspectBook suspects;
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
         * Sets the suspects that ride along.
         *
         * @param newSuspects the suspects of this process.
         * @return this builder.
         */
        public Builder withSuspects(SuspectBook newSuspects) {
            this.suspects = newSuspects;
            return this;
        }

        /**
         * Sets where the bundle's version comes from and who hears of a higher one.
         *
         * @param newBundleVersion the version in force here.
         * @param newListener told of a higher one.
         * @return this builder.
         */
        public Builder withBundleVersion(LongSupplier newBundleVersion, BundleVersionListener newListener) {
            this.bundleVersion = newBundleVersion;
            this.bundleVersionListener = newListener;
            return this;
        }

        /**
         * Sets the time and the randomness.
         *
         * @param newClock the time.
         * @param newRandom picks peers.
         * @return this builder.
         */
        public Builder withClockAndRandom(Clock newClock, RandomGenerator newRandom) {
            this.clock = newClock;
            this.random = newRandom;
            return this;
        }

        /**
         * Sets the intervals.
         *
         * @param newTiming intervals and fan-outs.
         * @return this builder.
         */
        public Builder withTiming(Timing newTiming) {
            this.timing = newTiming;
            return this;
        }

        /**
         * Sets the intervals and the bound of a message.
         *
         * @param newTiming intervals and fan-outs.
         * @param newMaxRecordBytes the most bytes of records in a message.
         * @return this builder.
         */
        public Builder withTiming(Timing newTiming, int newMaxRecordBytes) {
            this.timing = newTiming;
            this.maxRecordBytes = newMaxRecordBytes;
            return this;
        }

        /**
         * Sets where traffic is counted.
         *
         * @param newRegistry the registry.
         * @return this builder.
         */
        public Builder withMeterRegistry(MeterRegistry newRegistry) {
            this.registry = newRegistry;
            return this;
        }

        /**
         * Builds it.
         *
         * @return gossip that has not started.
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
