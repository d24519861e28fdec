package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.peer.NewsNumber;
import io.waxwingquay.peer.NewsPace;
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

    // A deployment has two services with engines. If engines of the other one took part in the plan, a model would be
    // left to one of them that can never hold it, and callers would find it nowhere.
    @Test
    void enginesOfAnotherServiceHaveNoPartInThePlan() {
        peers.onEngineUpdate(engineUpdate("other", "10.0.0.2:80"), 0);
        assertTrue(peers.otherEngines(OWN, Optional.empty(), 0).isEmpty());
        assertEquals(0, peers.otherStoreLoads(OWN, 0));
    }

    // Two processes announce the same model in the same instant. Exactly one of them may pass over the other's
    // announcement, or both would load it, or neither.
    @Test
    void onlyTheFirstInOrderPassesOverTheOthersAnnouncement() {
        peers.onEngineUpdate(engineUpdate("models", "10.0.0.2:80").setLoadingModel("m"), 0);
        HostPort last = new HostPort("10.0.0.9", 80);
        assertEquals(Optional.empty(), loading(OWN));
        assertEquals(Optional.of("m"), loading(last));
    }

    @Test
    void silentEngineIsForgotten() {
        peers.onEngineUpdate(engineUpdate("models", "10.0.0.2:80"), 0);
        assertEquals(1, peers.otherEngines(OWN, Optional.empty(), 3_000).size());
        assertTrue(peers.otherEngines(OWN, Optional.empty(), 3_001).isEmpty());
    }

    // A busy model loses a copy that its callers need: 55 of them are refused for want of room within seven seconds. An
    // engine was taken off the platform's list without a word and entries sent it nothing more, but the process beside
    // it told of its models for as long as it ran, and was believed for three seconds more; so another engine let its
    // own copy go, as one of four where there were three:
    //   10.21 front-mid-a-2 fleet: replica gone id=i-11be29de27
    //   13.70 side-mid-c-1 residency: engine lost
    //   14.95 side-mid-c-2 residency: model comes model=pura96786c makes_way=[rara464aea]
    @Test
    void engineThatNoEntryListsHasNoPartInThePlan() {
        peers.onEngineUpdate(engineUpdate("models", "10.0.0.2:80"), 0);
        peers.onEngineUpdate(engineUpdate("models", "10.0.0.3:80"), 0);
        peers.onEntryUpdate(new HostPort("10.0.1.1", 90), entryListing("10.0.0.1:80", "10.0.0.3:80"), 0);
        peers.onEntryUpdate(new HostPort("10.0.1.2", 90), entryListing("10.0.0.1:80"), 0);
        List<HostPort> counted = peers.otherEngines(OWN, Optional.empty(), 0).stream()
                .map(CopyPlan.EngineView::address)
                .toList();
        assertEquals(List.of(new HostPort("10.0.0.3", 80)), counted);
        assertEquals(4, peers.otherStoreLoads(OWN, 0), "what it loaded still counts for the ceiling");
    }

    // A process tells in rounds that take the longer the more there are; in a large deployment one round takes longer
    // than
    // the three seconds that count in a small one.
    @Test
    void engineOfALargeDeploymentIsForgottenAfterSomeOfItsRounds() {
        List<String> addresses = IntStream.range(2, 302)
                .mapToObj(each -> "10.0.0." + each + ":80")
                .toList();
        peers.onEntryUpdate(ENTRY, entryUpdate(new NewsNumber(0).next()).setEngineAddresses(addresses), 0);
        peers.onEngineUpdate(engineUpdate("models", "10.0.0.2:80"), 0);
        long roundMillis = NewsPace.periodMillis(300);
        assertEquals(
                1, peers.otherEngines(OWN, Optional.empty(), 2 * roundMillis).size());
    }

    // A process that started again has heard nothing. It is told at once if it is noticed, though its address is known.
    @Test
    void processThatStartedAgainIsNoticedOnce() {
        NewsNumber early = new NewsNumber(1_000);
        NewsNumber late = new NewsNumber(9_000);
        assertFalse(peers.onEntryUpdate(ENTRY, entryUpdate(early.next()), 0));
        assertFalse(peers.onEntryUpdate(ENTRY, entryUpdate(early.next()), 10));
        assertTrue(peers.onEntryUpdate(ENTRY, entryUpdate(late.next()), 20));
        assertFalse(peers.onEntryUpdate(ENTRY, entryUpdate(late.next()), 30));
        assertFalse(peers.onEngineUpdate(engineUpdate("models", "10.0.0.2:80").setNumber(early.next()), 0));
        assertTrue(peers.onEngineUpdate(engineUpdate("models", "10.0.0.2:80").setNumber(late.next()), 10));
    }

    // Datagrams overtake each other. What an engine announced before it gave up would keep the model from all others.
    @Test
    void newsThatWasOvertakenIsPassedOver() {
        NewsNumber numbers = new NewsNumber(0);
        long early = numbers.next();
        peers.onEngineUpdate(engineUpdate("models", "10.0.0.2:80").setNumber(numbers.next()), 0);
        peers.onEngineUpdate(
                engineUpdate("models", "10.0.0.2:80").setNumber(early).setLoadingModel("m"), 10);
        assertEquals(
                Optional.empty(),
                peers.otherEngines(OWN, Optional.empty(), 10).get(0).loading());
    }

    // An entry says at once what it uses here, and only now and then what is asked of it.
    @Test
    void newsOfUseLeavesWhatIsAskedFor() {
        NewsNumber numbers = new NewsNumber(0);
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
