package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.peer.UpdateInterval;
import io.waxwingquay.peer.UpdateSequence;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.EntryNews;
import io.waxwingquay.transport.generated.ModelDemand;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PeerUpdatesTest {

    private static final HostPort ENTRY = new HostPort("10.1.0.1", 7382);
    private static final HostPort OWN = new HostPort("10.0.0.1", 80);

    private final PeerUpdates peers = new PeerUpdates("models");

    // Engines of two services exist. If engines of the other service took part in the plan, a model could be assigned
    // to an engine that can never hold it, and no engine would load it.
    @Test
    void ignoresEnginesOfOtherServices() {
        peers.onEngineUpdate(engineUpdate("other", "10.0.0.2:80"), 0);
        assertTrue(peers.otherEngines(OWN, Optional.empty(), 0).isEmpty());
        assertEquals(0, peers.otherStoreLoads(OWN, 0));
    }

    // Two processes announce the same model at the same moment. Exactly one of them may ignore the other's
    // announcement, otherwise both would load it, or neither.
    @Test
    void onlyFirstInOrderIgnoresOtherAnnouncement() {
        peers.onEngineUpdate(engineUpdate("models", "10.0.0.2:80").setLoadingModel("m"), 0);
        HostPort last = new HostPort("10.0.0.9", 80);
        assertEquals(Optional.empty(), loading(OWN));
        assertEquals(Optional.of("m"), loading(last));
    }

    @Test
    void unresponsiveEngineExpires() {
        peers.onEngineUpdate(engineUpdate("models", "10.0.0.2:80"), 0);
        assertEquals(1, peers.otherEngines(OWN, Optional.empty(), 3_000).size());
        assertTrue(peers.otherEngines(OWN, Optional.empty(), 3_001).isEmpty());
    }

    // An engine is unlisted (at 10.21 s) and entries send it no more requests, but its side keeps reporting its models
    // until the engine ends (at 13.70 s) and is believed for three seconds longer. If its copy still counted, another
    // engine would evict one of three copies (at 14.95 s) as if there were four, and 55 requests for the busy model
    // would be rejected within seven seconds.
    @Test
    void ignoresEngineThatNoEntryLists() {
        peers.onEngineUpdate(engineUpdate("models", "10.0.0.2:80"), 0);
        peers.onEngineUpdate(engineUpdate("models", "10.0.0.3:80"), 0);
        peers.onEntryUpdate(new HostPort("10.0.1.1", 90), entryListing("10.0.0.1:80", "10.0.0.3:80"), 0);
        peers.onEntryUpdate(new HostPort("10.0.1.2", 90), entryListing("10.0.0.1:80"), 0);
        List<HostPort> addresses = peers.otherEngines(OWN, Optional.empty(), 0).stream()
                .map(CopyPlan.EngineView::address)
                .toList();
        assertEquals(List.of(new HostPort("10.0.0.3", 80)), addresses);
        assertEquals(4, peers.otherStoreLoads(OWN, 0), "its loads still count towards the limit");
    }

    // The interval between periodic updates grows with the number of receivers. In a large deployment it exceeds the
    // three seconds for which updates are valid in a small one.
    @Test
    void validityGrowsWithUpdatePeriod() {
        List<String> addresses = IntStream.range(2, 302)
                .mapToObj(each -> "10.0.0." + each + ":80")
                .toList();
        peers.onEntryUpdate(ENTRY, entryUpdate(new UpdateSequence(0).next()).setEngineAddresses(addresses), 0);
        peers.onEngineUpdate(engineUpdate("models", "10.0.0.2:80"), 0);
        long periodMillis = UpdateInterval.periodMillis(300);
        assertEquals(
                1, peers.otherEngines(OWN, Optional.empty(), 2 * periodMillis).size());
    }

    // A restarted process has received no updates. It is sent a full update as soon as its restart is noticed, although
    // its address is known.
    @Test
    void restartIsNoticedOnce() {
        UpdateSequence early = new UpdateSequence(1_000);
        UpdateSequence late = new UpdateSequence(9_000);
        assertFalse(peers.onEntryUpdate(ENTRY, entryUpdate(early.next()), 0));
        assertFalse(peers.onEntryUpdate(ENTRY, entryUpdate(early.next()), 10));
        assertTrue(peers.onEntryUpdate(ENTRY, entryUpdate(late.next()), 20));
        assertFalse(peers.onEntryUpdate(ENTRY, entryUpdate(late.next()), 30));
        assertFalse(peers.onEngineUpdate(engineUpdate("models", "10.0.0.2:80").setNumber(early.next()), 0));
        assertTrue(peers.onEngineUpdate(engineUpdate("models", "10.0.0.2:80").setNumber(late.next()), 10));
    }

    // Datagrams overtake each other. A stale announcement of a load that was given up would keep the model from all
    // others.
    @Test
    void overtakenUpdateIsIgnored() {
        UpdateSequence numbers = new UpdateSequence(0);
        long early = numbers.next();
        peers.onEngineUpdate(engineUpdate("models", "10.0.0.2:80").setNumber(numbers.next()), 0);
        peers.onEngineUpdate(
                engineUpdate("models", "10.0.0.2:80").setNumber(early).setLoadingModel("m"), 10);
        assertEquals(
                Optional.empty(),
                peers.otherEngines(OWN, Optional.empty(), 10).get(0).loading());
    }

    // An entry reports immediately what it uses here, but reports demand only periodically.
    @Test
    void updateOfUseKeepsDemand() {
        UpdateSequence numbers = new UpdateSequence(0);
        peers.onEntryUpdate(ENTRY, entryUpdate(numbers.next()), 0);
        EntryNews use = new EntryNews()
                .setNumber(numbers.next())
                .setAdaptersInUse(List.of("m/a1"))
                .setModelsInUse(List.of("m"));
        peers.onEntryUpdate(ENTRY, use, 10);
        assertEquals(Set.of("m/a1"), peers.adaptersInUse(10));
        assertEquals(Set.of(ENTRY), peers.activeEntries(10));
        assertEquals(Set.of("m"), peers.demand(10).keySet());
        assertEquals(Set.of(OWN), peers.listedEngines(10));
    }

    private static EntryNews entryUpdate(long number) {
        return new EntryNews()
                .setNumber(number)
                .setDemand(Map.of("m", new ModelDemand(1, 1, 1)))
                .setAdaptersInUse(List.of())
                .setModelsInUse(List.of())
                .setEngineAddresses(List.of(OWN.toString()));
    }

    private Optional<String> loading(HostPort own) {
        return peers.otherEngines(own, Optional.of("m"), 0).get(0).loading();
    }

    private static EntryNews entryListing(String... addresses) {
        return new EntryNews().setDemand(Map.of()).setEngineAddresses(List.of(addresses));
    }

    private static EngineNews engineUpdate(String service, String address) {
        return new EngineNews()
                .setServiceName(service)
                .setEngineAddress(address)
                .setModels(List.of())
                .setNearModels(List.of())
                .setModelsInUse(List.of())
                .setStoreLoads(2);
    }
}
