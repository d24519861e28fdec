package io.waxwingquay.bundle;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * Keeps a {@link BundleHolder} up to date from the platform and from peers. While neither is reached, a process
 * that has a bundle keeps it, and one that has none stays not ready rather than guess.
 */
public final class BundleFeed implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("waxwingquay.bundle");

    // Bounds the walk through bundles that changed keys, so that a faulty peer can't keep it going for ever.
    private static final int MAX_CHAIN_LENGTH = 256;

    private static final long REFRESH_TIMEOUT_MILLIS = 30_000;

    private final BundleHolder holder;
    private final BundleArchive archive;
    private final PeerFetcher peers;
    private final ScheduledExecutorService scheduler;
    private final long intervalMillis;
    private final AtomicBoolean refreshing = new AtomicBoolean();
    private final AtomicBoolean refreshAgain = new AtomicBoolean();
    private final BooleanSupplier pollsEveryInterval;
    private final int intervalsPerPoll;
    private volatile int intervalIndex;
    private volatile Optional<String> lastFailure = Optional.empty();
    private volatile ScheduledFuture<?> polling;

    private BundleFeed(Builder builder) {
        this.holder = builder.holder;
        this.archive = builder.archive;
        this.peers = builder.peers;
        this.scheduler = builder.scheduler;
        this.intervalMillis = builder.intervalMillis;
        this.pollsEveryInterval = builder.pollsEveryInterval;
        this.intervalsPerPoll = builder.intervalsPerPoll;
        this.intervalIndex = builder.firstIntervalIndex;
    }

    /**
     * Starts the description of a feed.
     *
     * @param holder what is kept up to date.
     * @param archive the platform's bundles.
     * @return the builder.
     */
    public static Builder builder(BundleHolder holder, BundleArchive archive) {
        return new Builder(holder, archive);
    }

    /** Looks at once and from then on at each interval, or more rarely where others look in this process's place. */
    public void start() {
        polling = scheduler.scheduleWithFixedDelay(this::tick, 0, intervalMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * One interval: looks if this process is to look at each, if it has no bundle yet or if its rare turn has come.
     *
     * @return completes when done; never fails.
     */
    CompletableFuture<Void> tick() {
        int currentIndex = intervalIndex;
        intervalIndex = (currentIndex + 1) % intervalsPerPoll;
        boolean isOwnTurn = currentIndex == 0;
        return isOwnTurn || holder.version() == 0 || pollsEveryInterval.getAsBoolean()
                ? refresh()
                : CompletableFuture.completedFuture(null);
    }

    /**
     * Tells of a version that a peer has; a higher one is fetched at once.
     *
     * @param version the peer's version.
     */
    public void hint(long version) {
        if (version > holder.version()) {
            scheduler.execute(() -> runExclusively(() -> adoptFromPeers().thenCompose(this::adoptFromTableUnless)));
        }
    }

    /**
     * Looks at the table row now, and asks peers if the platform is not reached.
     *
     * @return completes when done; never fails.
     */
    public CompletableFuture<Void> refresh() {
        return runExclusively(() -> adoptFromTable()
                .handle((adopted, failure) -> failure == null
                        ? CompletableFuture.completedFuture(adopted)
                        : adoptFromPeers().thenApply(found -> recordFailureUnless(found, failure)))
                .thenCompose(next -> next));
    }

    /**
     * Why the last look failed.
     *
     * @return the failure, or empty if the last look succeeded.
     */
    public Optional<String> lastFailure() {
        return lastFailure;
    }

    /** Stops polling. */
    @Override
    public void close() {
        ScheduledFuture<?> present = polling;
        if (present != null) {
            present.cancel(false);
        }
    }

    private CompletableFuture<Void> runExclusively(Refresh refresh) {
        if (!refreshing.compareAndSet(false, true)) {
            refreshAgain.set(true);
            return CompletableFuture.completedFuture(null);
        }
        lastFailure = Optional.empty();
        // A look that throws or never ends would leave this feed busy for good, and the process on an old bundle:
        // both are turned into a failed look, after which the next interval looks again.
        return CompletableFuture.completedFuture(refresh)
                .thenCompose(Refresh::start)
                .orTimeout(REFRESH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .handle((adopted, failure) -> {
                    if (failure != null) {
                        recordFailure(failure);
                    }
                    refreshing.set(false);
                    return refreshAgain.getAndSet(false);
                })
                .thenCompose(once -> once ? refresh() : CompletableFuture.completedFuture(null));
    }

    private CompletableFuture<Boolean> adoptFromTableUnless(boolean adopted) {
        return adopted ? CompletableFuture.completedFuture(true) : adoptFromTable();
    }

    private CompletableFuture<Boolean> adoptFromTable() {
        return archive.current().thenCompose(current -> {
            if (current.isEmpty() || current.get().row().version() <= holder.version()) {
                return CompletableFuture.completedFuture(false);
            }
            BundleRow row = current.get().row();
            return archive.fetchKeyChanges(row, holder.version())
                    .thenCombine(archive.fetch(row), BundleFeed::append)
                    .thenApply(holder::adopt);
        });
    }

    private CompletableFuture<Boolean> adoptFromPeers() {
        return fetchChain(holder.version(), List.of()).thenApply(holder::adopt).exceptionally(failure -> {
            recordFailure(failure);
            return false;
        });
    }

    private CompletableFuture<List<SignedBundle>> fetchChain(long aboveVersion, List<SignedBundle> chain) {
        if (chain.size() >= MAX_CHAIN_LENGTH) {
            return CompletableFuture.failedFuture(
                    new BundleException("a peer offered more than " + MAX_CHAIN_LENGTH + " bundles", null));
        }
        return peers.fetchAbove(aboveVersion)
                .thenCompose(found -> found.filter(bundle -> bundle.version() > aboveVersion)
                        .map(bundle -> fetchChain(bundle.version(), append(chain, bundle)))
                        .orElseGet(() -> CompletableFuture.completedFuture(chain)));
    }

    private boolean recordFailureUnless(boolean adopted, Throwable failure) {
        if (!adopted) {
            recordFailure(failure);
        }
        return adopted;
    }

    private void recordFailure(Throwable failure) {
        String message = BundleArchive.unwrap(failure).getMessage();
        lastFailure = Optional.of(String.valueOf(message));
        LOG.log(System.Logger.Level.WARNING, "bundle: not refreshed: " + message);
    }

    private static List<SignedBundle> append(List<SignedBundle> list, SignedBundle last) {
        return Stream.concat(list.stream(), Stream.of(last)).toList();
    }

    private interface Refresh {
        CompletableFuture<Boolean> start();
    }

    /** Asks some peer for its next bundle above a version, see {@link BundleHolder#nextAbove}. */
    @FunctionalInterface
    public interface PeerFetcher {

        /**
         * Asks a peer.
         *
         * @param aboveVersion the version already here.
         * @return the next bundle, empty if the peer has none higher; fails if no peer answers.
         */
        CompletableFuture<Optional<SignedBundle>> fetchAbove(long aboveVersion);
    }

    /** Describes a feed. */
    public static final class Builder {

        private static final long DEFAULT_INTERVAL_MILLIS = 1_000;

        private final BundleHolder holder;
        private final BundleArchive archive;
        private PeerFetcher peers = aboveVersion -> CompletableFuture.completedFuture(Optional.empty());
        private ScheduledExecutorService scheduler;
        private long intervalMillis = DEFAULT_INTERVAL_MILLIS;
        private BooleanSupplier pollsEveryInterval = () -> true;
        private int intervalsPerPoll = 1;
        private int firstIntervalIndex;

        private Builder(BundleHolder holder, BundleArchive archive) {
            this.holder = holder;
            this.archive = archive;
        }

        /**
         * Sets how peers are asked; without it none is.
         *
         * @param fetcher asks a peer.
         * @return this builder.
         */
        public Builder peers(PeerFetcher fetcher) {
            this.peers = fetcher;
            return this;
        }

        /**
         * Sets when the table row is looked at.
         *
         * @param executor runs the looks; it is not closed by the feed.
         * @param everyMillis the time between two looks.
         * @return this builder.
         */
        public Builder schedule(ScheduledExecutorService executor, long everyMillis) {
            this.scheduler = executor;
            this.intervalMillis = everyMillis;
            return this;
        }

        /**
         * Sets which processes look at each interval. If all 2,720 did, their 2,720 reads a second would exceed the
         * table service's 2,000, so the others rely on gossip and still look now and then, lest a process that
         * gossip does not reach stay on an old bundle for good.
         *
         * @param condition whether this process looks at each interval.
         * @param otherwiseIntervals else it looks once in so many intervals, and while it has no bundle.
         * @param firstIndex which of these intervals is its turn, so that processes started together do not look together.
         * @return this builder.
         */
        public Builder pollEveryInterval(BooleanSupplier condition, int otherwiseIntervals, int firstIndex) {
            this.pollsEveryInterval = condition;
            this.intervalsPerPoll = otherwiseIntervals;
            this.firstIntervalIndex = firstIndex;
            return this;
        }

        /**
         * Builds the feed, which looks at nothing before {@link BundleFeed#start}.
         *
         * @return the feed.
         */
        public BundleFeed build() {
            return new BundleFeed(this);
        }
    }
}
