package io.waxwingquay.entry;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.BundleSource;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.membership.Membership;
import io.waxwingquay.membership.Side;
import io.waxwingquay.suspect.SuspectRegistry;
import io.waxwingquay.transport.Connections;
import io.waxwingquay.transport.SideProtocol;
import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SuspectRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** In-memory surroundings of an entry process: sides, table, membership, connections and bundle. */
final class FakeCluster implements Membership, Connections, BundleSource {

    static final String ITEM = "model:m@1";

    final FakeTable table = new FakeTable();
    final FakeSide firstSide = new FakeSide("side-1", 1);
    final FakeSide secondSide = new FakeSide("side-2", 2);
    final SuspectRegistry suspects = new InMemorySuspects();
    final List<String> leavingSideIds = new ArrayList<>();
    List<FakeSide> knownSides = List.of(firstSide, secondSide);
    Optional<Bundle> bundle = Optional.of(new Bundle(
            1,
            new Bundle.Keys(List.of(), List.of()),
            List.of(
                    new Bundle.Service("llm", Bundle.Kind.MODEL, 2, 100, 1, false, 1, 1, 1, 8),
                    new Bundle.Service("pay", Bundle.Kind.PLAIN, 2, 0, 0, false, 1, 1, 1, 8)),
            List.of(new Bundle.Model("m", "llm", "1", 10, 0)),
            List.of(),
            List.of(new Bundle.Operation("pay", "deposit", true), new Bundle.Operation("pay", "quote", false))));

    /** Returns a configuration with the round-robin policy, so that tests know which side is tried first. */
    static EntryConfiguration configuration() {
        return new EntryConfiguration(
                "127.0.0.1", 0, "dc1", "round-robin", 30_000, 600_000, 4_096, 1_024, 250, 1.0, 64);
    }

    EntryNode startEntry() {
        return EntryNode.builder()
                .configuration(configuration())
                .bundles(this)
                .membership(this)
                .connections(this)
                .table(table)
                .meters(new SimpleMeterRegistry())
                .random(new Random(7))
                .suspects(suspects)
                .build()
                .start();
    }

    @Override
    public List<Side> sides() {
        List<Side> sides = new ArrayList<>();
        for (FakeSide side : knownSides) {
            sides.add(side.side("llm", Set.of(ITEM)));
            sides.add(side.side("pay", Set.of()));
        }
        return sides;
    }

    @Override
    public Optional<Side> side(String sideId) {
        return sides().stream().filter(side -> side.id().equals(sideId)).findFirst();
    }

    @Override
    public void publish(SideRecord record) {
        throw new UnsupportedOperationException();
    }

    @Override
    public synchronized void noteLeaving(String sideId, long epoch) {
        leavingSideIds.add(sideId);
    }

    @Override
    public void noteReached(String sideId, long epoch, boolean reached) {}

    @Override
    public SideProtocol to(HostPort address) {
        return address.port() == 1 ? firstSide : secondSide;
    }

    @Override
    public void close() {}

    @Override
    public Optional<Bundle> current() {
        return bundle;
    }

    @Override
    public void onAdopted(Consumer<Bundle> listener) {}

    /** Suspect book that quarantines a request after one crash. */
    private static final class InMemorySuspects implements SuspectRegistry {

        private final Set<Long> quarantined = ConcurrentHashMap.newKeySet();

        @Override
        public Standing standing(long fingerprint) {
            return quarantined.contains(fingerprint) ? Standing.QUARANTINED : Standing.CLEAR;
        }

        @Override
        public List<SuspectRecord> recordCrash(String crashId, Collection<Long> fingerprints) {
            quarantined.addAll(fingerprints);
            return List.of();
        }

        @Override
        public void clear(long fingerprint) {
            quarantined.remove(fingerprint);
        }

        @Override
        public void merge(List<SuspectRecord> records) {}

        @Override
        public List<SuspectRecord> snapshot() {
            return List.of();
        }
    }
}
