package io.waxwingquay.standin.prepared;

import io.waxwingquay.common.HostPort;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for the platform's balancer: it names the entry that a client's new connection reaches. By default that is
 * decided by a hash of the client; for a while most new connections may go to one entry. A retry reaches another entry than
 * the attempt before. Safe for concurrent use.
 */
public final class BalancerStandin {

    /** Share of the new connections that a preferred entry gets, in percent. */
    private static final int PREFERRED_PERCENT = 95;

    private static final int PERCENT = 100;

    private final List<HostPort> entries;
    private final Set<HostPort> removed = ConcurrentHashMap.newKeySet();
    private volatile boolean prefersOne;

    /**
     * Creates a balancer.
     *
     * @param entries the addresses of the entries.
     */
    public BalancerStandin(List<HostPort> entries) {
        this.entries = List.copyOf(entries);
    }

    /** Hands most new connections to one entry from now on: the first that is in rotation. */
    public void preferOne() {
        prefersOne = true;
    }

    /** Hands new connections to all entries alike from now on. */
    public void preferNone() {
        prefersOne = false;
    }

    /**
     * Takes an entry out of rotation, or back into it.
     *
     * @param entry the address of the entry.
     * @param inRotation whether it gets new connections.
     */
    public void rotation(HostPort entry, boolean inRotation) {
        if (inRotation) {
            removed.remove(entry);
        } else {
            removed.add(entry);
        }
    }

    /**
     * Names the entry that a new connection reaches.
     *
     * @param client the name of the client.
     * @param previous the entry of the attempt that this one repeats; empty for a first attempt.
     * @return the address of the entry, one out of rotation if there is no other.
     */
    public HostPort choose(String client, Optional<HostPort> previous) {
        List<HostPort> candidates = new ArrayList<>(entries);
        candidates.removeAll(removed);
        if (candidates.isEmpty()) {
            candidates.addAll(entries);
        }
        if (candidates.size() > 1) {
            previous.ifPresent(candidates::remove);
        }
        int hash = Math.floorMod(client.hashCode() * 0x9E3779B1, PERCENT * entries.size());
        boolean preferred = prefersOne && previous.isEmpty() && hash % PERCENT < PREFERRED_PERCENT;
        return preferred ? candidates.get(0) : candidates.get(hash / PERCENT % candidates.size());
    }
}
