package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.EntryNews;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class NeighboursTest {

    private static final HostPort OWN = new HostPort("10.0.0.1", 80);

    private final Neighbours neighbours = new Neighbours("models");

    // A deployment has two services with engines. If engines of the other one took part in the plan, a model would be
    // left to one of them that can never hold it, and callers would find it nowhere.
    @Test
    void enginesOfAnotherServiceHaveNoPartInThePlan() {
        neighbours.engine(news("other", "10.0.0.2:80"), 0);
        assertTrue(neighbours.others(OWN, Optional.empty(), 0).isEmpty());
        assertEquals(0, neighbours.othersStoreLoads(OWN, 0));
    }

    // Two processes announce the same model in the same instant. Exactly one of them may pass over the other's
    // announcement, or both would load it, or neither.
    @Test
    void onlyTheFirstInOrderPassesOverTheOthersAnnouncement() {
        neighbours.engine(news("models", "10.0.0.2:80").setLoadingModel("m"), 0);
        HostPort last = new HostPort("10.0.0.9", 80);
        assertEquals(Optional.empty(), loading(OWN));
        assertEquals(Optional.of("m"), loading(last));
    }

    @Test
    void silentEngineIsForgotten() {
        neighbours.engine(news("models", "10.0.0.2:80"), 0);
        assertEquals(1, neighbours.others(OWN, Optional.empty(), 3_000).size());
        assertTrue(neighbours.others(OWN, Optional.empty(), 3_001).isEmpty());
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
        neighbours.engine(news("models", "10.0.0.2:80"), 0);
        neighbours.engine(news("models", "10.0.0.3:80"), 0);
        neighbours.entry(new HostPort("10.0.1.1", 90), listing("10.0.0.1:80", "10.0.0.3:80"), 0);
        neighbours.entry(new HostPort("10.0.1.2", 90), listing("10.0.0.1:80"), 0);
        List<HostPort> counted = neighbours.others(OWN, Optional.empty(), 0).stream()
                .map(CopyPlan.EngineView::address)
                .toList();
        assertEquals(List.of(new HostPort("10.0.0.3", 80)), counted);
        assertEquals(4, neighbours.othersStoreLoads(OWN, 0), "what it loaded still counts for the ceiling");
    }

    private Optional<String> loading(HostPort own) {
        return neighbours.others(own, Optional.of("m"), 0).get(0).loading();
    }

    private static EntryNews listing(String... addresses) {
        return new EntryNews().setEngineAddresses(List.of(addresses));
    }

    private static EngineNews news(String service, String address) {
        return new EngineNews()
                .setServiceName(service)
                .setEngineAddress(address)
                .setModels(List.of())
                .setNearModels(List.of())
                .setModelsInUse(List.of())
                .setStoreLoads(2);
    }
}
