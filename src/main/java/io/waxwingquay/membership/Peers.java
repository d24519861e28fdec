package io.waxwingquay.membership;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.store.VmList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * Whom this process may gossip with: sides from the member table, entries and yet unknown processes from seeds, the
 * platform's list and requests. Safe for concurrent use.
 */
public final class Peers {

    private static final int FORGET_AFTER_FAILURES = 5;
    private static final String UNKNOWN_DATA_CENTRE = "";

    private final Peer self;
    private final MemberTable table;
    private final Map<HostPort, Peer> discovered = new ConcurrentHashMap<>();
    private final Map<HostPort, Integer> consecutiveFailures = new ConcurrentHashMap<>();
    private final Set<HostPort> seeds;

    /**
     * Peers of one process.
     *
     * @param self this process.
     * @param table the sides known.
     * @param seeds addresses from the settings; kept for good, as they are the way back after a long cut.
     */
    public Peers(Peer self, MemberTable table, Collection<HostPort> seeds) {
        this.self = self;
        this.table = table;
        this.seeds = Set.copyOf(seeds);
        seeds.forEach(seed -> add(new Peer(seed.toString(), seed, UNKNOWN_DATA_CENTRE)));
    }

    /**
     * This process.
     *
     * @return its name, address and data centre.
     */
    public Peer self() {
        return self;
    }

    MemberTable table() {
        return table;
    }

    /**
     * Notes a process that sent a request; its data centre may not be known yet.
     *
     * @param id its name.
     * @param address where it listens.
     */
    public void noteRequest(String id, HostPort address) {
        consecutiveFailures.remove(address);
        Peer known = discovered.get(address);
        if (known == null || !known.id().equals(id)) {
            add(new Peer(id, address, known == null ? UNKNOWN_DATA_CENTRE : known.dataCentre()));
        }
    }

    /**
     * Notes the VMs of the platform's list.
     *
     * @param vms the VMs; those leaving are not asked any more.
     */
    public void noteListed(Collection<VmList.Vm> vms) {
        vms.forEach(vm -> {
            HostPort address = new HostPort(vm.host(), vm.port());
            if (vm.leaving()) {
                discovered.remove(address);
            } else {
                add(new Peer(vm.name(), address, vm.dataCentre()));
            }
        });
    }

    /**
     * Notes whether a peer answered. One that fails several times in a row is forgotten, unless it is a seed.
     *
     * @param peer the peer.
     * @param answered whether it answered.
     */
    public void noteOutcome(Peer peer, boolean answered) {
        table.side(peer.id()).ifPresent(side -> table.noteReached(side.id(), side.epoch(), answered));
        if (answered) {
            consecutiveFailures.remove(peer.address());
        } else if (consecutiveFailures.merge(peer.address(), 1, Integer::sum) >= FORGET_AFTER_FAILURES
                && !seeds.contains(peer.address())) {
            discovered.remove(peer.address());
            consecutiveFailures.remove(peer.address());
        }
    }

    /**
     * Picks different peers at random: mostly of the own data centre, at most one of another.
     *
     * @param count how many.
     * @param remoteProbability the share of picks of one peer that go to another data centre.
     * @param random the randomness.
     * @return the peers; fewer if fewer are known.
     */
    public List<Peer> pick(int count, double remoteProbability, RandomGenerator random) {
        List<Peer> local = new ArrayList<>();
        List<Peer> remote = new ArrayList<>();
        all().forEach(peer -> (isLocal(peer) ? local : remote).add(peer));
        int remoteCount = count > 1 || random.nextDouble() < remoteProbability ? Math.min(1, remote.size()) : 0;
        int localCount = Math.min(count - remoteCount, local.size());
        Set<Peer> picked = new LinkedHashSet<>(sample(local, localCount, random));
        picked.addAll(sample(remote, Math.min(count - localCount, remote.size()), random));
        return List.copyOf(picked);
    }

    /**
     * All peers but this process, without those known to be silent. A side that leaves stays one, as it must hear
     * that it leaves.
     *
     * @return a new list.
     */
    public List<Peer> all() {
        List<Side> sides = table.sides();
        Set<HostPort> sideAddresses = new LinkedHashSet<>();
        sides.forEach(side -> sideAddresses.add(side.address()));
        Stream<Peer> fromTable = sides.stream()
                .filter(Side::reachable)
                .map(side -> new Peer(side.id(), side.address(), side.dataCentre()));
        Stream<Peer> others = discovered.values().stream().filter(peer -> !sideAddresses.contains(peer.address()));
        return Stream.concat(fromTable, others)
                .filter(peer -> !peer.address().equals(self.address()))
                .toList();
    }

    private void add(Peer peer) {
        if (!peer.address().equals(self.address())) {
            discovered.put(peer.address(), peer);
        }
    }

    private boolean isLocal(Peer peer) {
        return peer.dataCentre().equals(self.dataCentre()) || peer.dataCentre().equals(UNKNOWN_DATA_CENTRE);
    }

    private static List<Peer> sample(List<Peer> from, int count, RandomGenerator random) {
        List<Peer> rest = new ArrayList<>(from);
        List<Peer> picked = new ArrayList<>();
        for (int left = count; left > 0; left--) {
            int index = random.nextInt(rest.size());
            picked.add(rest.get(index));
            rest.set(index, rest.get(rest.size() - 1));
            rest.remove(rest.size() - 1);
        }
        return picked;
    }

    /**
     * A process.
     *
     * @param id its name.
     * @param address where it listens.
     * @param dataCentre its data centre, empty if unknown.
     */
    public record Peer(String id, HostPort address, String dataCentre) {}
}
