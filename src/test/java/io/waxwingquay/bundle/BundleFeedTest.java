package io.waxwingquay.bundle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class BundleFeedTest {

    private final FakePlatform platform = new FakePlatform();
    private final Operator operator = new Operator();
    private final BundleHolder holder = new BundleHolder(operator.root());

    @Test
    void adoptsFromThePlatformAndNotifiesListenersInOrder() {
        List<Long> notifiedVersions = new ArrayList<>();
        holder.onAdopted(bundle -> notifiedVersions.add(bundle.version()));
        BundleFeed feed = feed(new BundleHolder(operator.root()));
        submit(operator.bundle(1));
        feed.refresh().join();
        submit(operator.bundle(2));
        feed.refresh().join();
        feed.refresh().join();
        assertEquals(List.of(1L, 2L), notifiedVersions);
    }

    // A peer that was paused offers the version before the one in force. Adopting it would revert the configuration.
    @Test
    void olderVersionIsNeverAdopted() {
        assertTrue(holder.adopt(List.of(operator.bundle(2))));
        assertFalse(holder.adopt(List.of(operator.bundle(1))));
        assertEquals(2, holder.version());
    }

    // A peer, or someone with access to the store, offers bytes that no operator signed. The signature covers the exact
    // bytes, so an altered document, a version other than the document's, an untrusted key and a malformed signature
    // must all be refused.
    @Test
    void forgedOrAlteredBundleIsRefused() {
        SignedBundle good = operator.bundle(1);
        byte[] altered = new String(good.document())
                .replace("replicas = 3", "replicas = 9")
                .getBytes();
        assertRefused(new SignedBundle(1, altered, good.signature(), good.keyId()));
        assertRefused(new SignedBundle(2, good.document(), good.signature(), good.keyId()));
        assertRefused(new Operator().bundle(1));
        assertRefused(new SignedBundle(1, good.document(), "no base64", good.keyId()));
        assertEquals(Optional.empty(), holder.current());
    }

    // A process restarts during an outage of the store. If its peer has a bundle, it adopts that one. If the peer has
    // none either, the process stays without a bundle, rather than serve an old one, and reports the failure.
    @Test
    void restartDuringAnOutageAdoptsThePeersBundleOrNone() {
        platform.outage = true;
        BundleFeed emptyPeerFeed = feed(new BundleHolder(operator.root()));
        emptyPeerFeed.refresh().join();
        assertEquals(Optional.empty(), holder.current());
        assertTrue(emptyPeerFeed.lastFailure().isPresent());
        BundleHolder peer = new BundleHolder(operator.root());
        peer.adopt(List.of(operator.bundle(4)));
        feed(peer).refresh().join();
        assertEquals(4, holder.version());
    }

    // The first key was rotated out, but the settings of a restarted process still list only that key. The process must
    // verify every key change from its root key up to the current signing key, whether read from the table or from a
    // peer. A later bundle signed by the first key, which bundle 3 revokes, is refused.
    @Test
    void restartWithOldRootKeysFollowsTheKeyChanges() {
        Operator second = new Operator();
        Operator third = new Operator();
        submit(operator.bundleTrusting(1, List.of(), second));
        submit(second.bundle(2));
        submit(second.bundleTrusting(3, List.of(operator.id()), third));
        submit(third.bundle(4));
        feed(new BundleHolder(operator.root())).refresh().join();
        assertEquals(4, holder.version());
        BundleHolder restarted = new BundleHolder(operator.root());
        platform.outage = true;
        feedOf(restarted, holder).refresh().join();
        assertEquals(4, restarted.version());
        assertRefusedBy(restarted, operator.bundle(5));
    }

    // The object store returns bytes that don't match the row's hash, such as a truncated document. They must not be
    // adopted.
    @Test
    void bytesThatDoNotMatchTheRowAreRefused() {
        SignedBundle bundle = operator.bundle(1);
        submit(bundle);
        platform.objects.put(bundle.hash(), new byte[] {1});
        BundleFeed feed = feed(new BundleHolder(operator.root()));
        feed.refresh().join();
        assertEquals(0, holder.version());
        assertTrue(feed.lastFailure().orElseThrow().contains("other bytes"));
    }

    // Gossip reports a higher version during an outage of the store. The hint must make the feed ask peers at once.
    // Polling is not started here, so nothing but the hint can cause the call.
    @Test
    void hintOfAHigherVersionAsksPeersAtOnce() throws Exception {
        platform.outage = true;
        BundleHolder peer = new BundleHolder(operator.root());
        peer.adopt(List.of(operator.bundle(6)));
        CompletableFuture<Long> adopted = new CompletableFuture<>();
        holder.onAdopted(bundle -> adopted.complete(bundle.version()));
        ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
        try (BundleFeed feed = BundleFeed.builder(holder, platform.archive())
                .peers(version -> CompletableFuture.completedFuture(peer.nextAbove(version)))
                .schedule(scheduler, Long.MAX_VALUE / 2_000_000)
                .build()) {
            feed.hint(6);
            assertEquals(6, adopted.get(30, TimeUnit.SECONDS));
        } finally {
            scheduler.shutdownNow();
        }
    }

    // If every process read the row each second, 2,720 reads a second would exceed the 2,000 that the table service
    // handles. A process that relies on gossip polls at every interval while it has no bundle and then once every 30
    // intervals; without that poll, a process that gossip does not reach would stay on the old bundle permanently.
    @Test
    void processThatSkipsIntervalsStillPollsPeriodically() {
        BundleFeed feed = BundleFeed.builder(holder, platform.archive())
                .pollEveryInterval(() -> false, 30, 2)
                .build();
        feed.tick().join();
        submit(operator.bundle(1));
        feed.tick().join();
        assertEquals(1, holder.version());
        submit(operator.bundle(2));
        for (int interval = 4; interval < 30; interval++) {
            feed.tick().join();
        }
        assertEquals(1, holder.version());
        feed.tick().join();
        assertEquals(2, holder.version());
    }

    // The client of a peer throws instead of returning a failed future. If the feed did not mark that refresh as
    // finished, it would skip all later ones and the process would stay on an old bundle.
    @Test
    void throwingPeerClientDoesNotBlockLaterRefreshes() {
        AtomicInteger fetches = new AtomicInteger();
        BundleHolder peer = new BundleHolder(operator.root());
        peer.adopt(List.of(operator.bundle(1)));
        platform.outage = true;
        BundleFeed feed = BundleFeed.builder(holder, platform.archive())
                .peers(version -> {
                    if (fetches.getAndIncrement() == 0) {
                        throw new IllegalStateException("faulty client");
                    }
                    return CompletableFuture.completedFuture(peer.nextAbove(version));
                })
                .build();
        feed.refresh().join();
        assertTrue(feed.lastFailure().isPresent());
        feed.refresh().join();
        assertEquals(1, holder.version());
        assertEquals(Optional.empty(), feed.lastFailure());
    }

    private BundleFeed feed(BundleHolder peer) {
        return feedOf(holder, peer);
    }

    private BundleFeed feedOf(BundleHolder holder, BundleHolder peer) {
        return BundleFeed.builder(holder, platform.archive())
                .peers(version -> CompletableFuture.completedFuture(peer.nextAbove(version)))
                .build();
    }

    private void submit(SignedBundle bundle) {
        BundleAcceptance acceptance = new BundleAcceptance(platform.archive(), operator.root());
        assertEquals(
                BundleAcceptance.Verdict.ACCEPTED,
                acceptance.submit(bundle).join().verdict());
    }

    private void assertRefused(SignedBundle bundle) {
        assertRefusedBy(holder, bundle);
    }

    private static void assertRefusedBy(BundleHolder holder, SignedBundle bundle) {
        assertThrows(BundleException.Untrusted.class, () -> holder.adopt(List.of(bundle)));
    }
}
