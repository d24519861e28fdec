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
 * Keeps a {@link BundleHolder} up to date from the platform and from peers. While neither can be reached, a process
 * that has a bundle keeps it, and a process without one stays not ready.
 */
public final class BundleFeed implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("waxwingquay.bundle");

    // Bounds the chain of bundles that a peer offers, so that a faulty peer can't extend it without end.
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
     * Creates a builder of a feed.
     *
     * @param holder the holder to keep up to date.
     * @param archive the archive of accepted bundles on the platform.
     * @return the builder.
     */
    public static Builder builder(BundleHolder holder, BundleArchive archive) {
        return new Builder(holder, archive);
    }

    /** Starts polling, immediately and then once per interval or less often, see {@link Builder#pollEveryInterval}. */
    public void start() {
        polling = scheduler.scheduleWithFixedDelay(this::tick, 0, intervalMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Begins an interval. Refreshes if this process polls at every interval, if it has no bundle yet or if the index of
     * this interval is 0.
     *
     * @return a future that completes after the refresh and never fails.
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
     * Handles the version that a peer reports; a version above the one in force is fetched at once.
     *
     * @param version the peer's version.
     */
    public void hint(long version) {
        if (version > holder.version()) {
            scheduler.execute(() -> runExclusively(() -> adoptFromPeers().thenCompose(this::adoptFromTableUnless)));
        }
    }

    /**
     * Reads the table row now, and asks peers if the platform can't be reached.
     *
     * @return a future that completes after the refresh and never fails.
     */
    public CompletableFuture<Void> refresh() {
        return runExclusively(() -> adoptFromTable()
                .handle((adopted, failure) -> failure == null
                        ? CompletableFuture.completedFuture(adopted)
                        : adoptFromPeers().thenApply(found -> recordFailureUnless(found, failure)))
                .thenCompose(next -> next));
    }

    /**
     * Returns why the last refresh failed.
     *
     * @return the message of the failure, or empty if the last refresh succeeded.
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
        // A refresh that throws or never completes would block all later ones and leave the process on an old bundle.
        // Both cases become a failed refresh, and the next interval polls again.
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

    /** An attempt to adopt a newer bundle, whose result is whether one was adopted. */
    private interface Refresh {
        CompletableFuture<Boolean> start();
    }

    /** Fetches the next bundle above a version from a peer, see {@link BundleHolder#nextAbove}. */
    @FunctionalInterface
    public interface PeerFetcher {

        /**
         * Fetches a peer's next bundle.
         *
         * @param aboveVersion the version that this process already has.
         * @return the next bundle, or empty if the peer has no higher one; fails if no peer answers.
         */
        CompletableFuture<Optional<SignedBundle>> fetchAbove(long aboveVersion);
    }

    /** Builder of a feed. */
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
         * Sets how bundles are fetched from peers; by default no peer is asked.
         *
         * @param fetcher fetches a bundle from a peer.
         * @return this builder.
         */
        public Builder peers(PeerFetcher fetcher) {
            this.peers = fetcher;
            return this;
        }

        /**
         * Sets the executor and the interval of polling the table row.
         *
         * @param executor runs the refreshes; the feed does not close it.
         * @param everyMillis the time between two intervals.
         * @return this builder.
         */
        public Builder schedule(ScheduledExecutorService executor, long everyMillis) {
            this.scheduler = executor;
            this.intervalMillis = everyMillis;
            return this;
        }

        /**
         * Sets whether this process polls at every interval. If all 2,720 processes did, their 2,720 reads a second
         * would exceed the 2,000 that the table service handles. The others rely on gossip, but still poll from time to
         * time, since a process that gossip does not reach would otherwise stay on an old bundle permanently.
         *
         * @param condition whether this process polls at every interval.
         * @param otherwiseIntervals if it does not, the number of intervals in which it polls once, at index 0; while
         *     it has no bundle, it polls at every interval.
         * @param firstIndex the index of the first interval, below {@code otherwiseIntervals}; processes that start
         *     together use different indexes so that they do not poll together.
         * @return this builder.
         */
        public Builder pollEveryInterval(BooleanSupplier condition, int otherwiseIntervals, int firstIndex) {
            this.pollsEveryInterval = condition;
            this.intervalsPerPoll = otherwiseIntervals;
            this.firstIntervalIndex = firstIndex;
            return this;
        }

        /**
         * Builds the feed, which does not poll before {@link BundleFeed#start}.
         *
         * @return the feed.
         */
        public BundleFeed build() {
            return new BundleFeed(this);
        }
    }
}
