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
 * The peers that this process may gossip with. Sides come from the member table; entries and processes that are not in
 * the table yet come from the seeds, the platform's list and received requests. Safe for concurrent use.
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
     * Creates the peers of a process.
     *
     * @param self this process.
     * @param table the known sides.
     * @param seeds the addresses from the settings; never forgotten, so that the process can rejoin after a long
     *     network partition.
     */
    public Peers(Peer self, MemberTable table, Collection<HostPort> seeds) {
        this.self = self;
        this.table = table;
        this.seeds = Set.copyOf(seeds);
        seeds.forEach(seed -> add(new Peer(seed.toString(), seed, UNKNOWN_DATA_CENTRE)));
    }

    /**
     * Returns this process.
     *
     * @return the name, address and data centre of this process.
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
     * @param id the name of the process.
     * @param address the address on which it listens.
     */
    public void noteRequest(String id, HostPort address) {
        consecutiveFailures.remove(address);
        Peer known = discovered.get(address);
        if (known == null || !known.id().equals(id)) {
            add(new Peer(id, address, known == null ? UNKNOWN_DATA_CENTRE : known.dataCentre()));
        }
    }

    /**
     * Notes the VMs on the platform's list.
     *
     * @param vms the VMs; those that are leaving are removed from the peers.
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
     * Notes whether a peer answered. A peer with several consecutive failures is forgotten, unless it is a seed.
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
     * Picks distinct peers at random: mostly from the own data centre and, if enough local peers are known, at most
     * one from another.
     *
     * @param count the number of peers.
     * @param remoteProbability the probability that a single peer is picked from another data centre.
     * @param random the source of randomness.
     * @return the peers; fewer than {@code count} if fewer are known.
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
     * Returns all peers except this process and sides known to be unresponsive. A leaving side is included, because it
     * has to learn that it is leaving.
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
     * A process that takes part in gossip.
     *
     * @param id the name of the process.
     * @param address the address on which it listens.
     * @param dataCentre the data centre of the process, empty if unknown.
     */
    public record Peer(String id, HostPort address, String dataCentre) {}
}
