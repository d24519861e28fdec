package io.waxwingquay.reservation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The granted slots: leased ones that the engine's report does not show yet, and those of requests that it shows. */
final class Grants {

    /** Enough for a datagram and a request between data centres alongside a busy event loop. */
    static final long LEASE_MILLIS = 250L;

    /** The least time from a grant until the engine can have the request: the reply to the entry, and the request. */
    static final long TRANSIT_MILLIS = 3L;

    private final Map<SlotRequest.Key, Lease> leases = new LinkedHashMap<>();
    private final Map<String, SlotRequest> running = new HashMap<>();

    /** Leases a slot. */
    void grant(SlotRequest request, long nowMillis) {
        leases.put(request.key(), new Lease(request, nowMillis));
    }

    /** Ends the leases that are over, which are the oldest ones. */
    void expire(long nowMillis) {
        Iterator<Lease> oldestFirst = leases.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().isOver(nowMillis)) {
            oldestFirst.remove();
        }
    }

    /** Ends a lease; ignored if there is none. */
    void release(SlotRequest.Key key) {
        leases.remove(key);
    }

    boolean isLeased(SlotRequest.Key key) {
        return leases.containsKey(key);
    }

    /** Returns the number of leases, without those whose requests the last report counts as queued in the engine. */
    int unreported() {
        return (int) leases.values().stream().filter(lease -> !lease.isQueued).count();
    }

    /**
     * Takes the attempts that a report lists as running, which count by the report from now on. It does not name the queued
     * ones, so these are taken for the oldest leases that can have reached the engine.
     *
     * @param attemptIds the running attempts.
     * @param queued the number of requests that are queued in the engine.
     * @param nowMillis the monotonic time.
     * @return the requests whose leases ended because they run.
     */
    List<SlotRequest> observe(Set<String> attemptIds, int queued, long nowMillis) {
        running.keySet().retainAll(attemptIds);
        List<SlotRequest> started = new ArrayList<>();
        leases.values().removeIf(lease -> {
            boolean isRunning = attemptIds.contains(lease.request.attemptId());
            if (isRunning) {
                running.put(lease.request.attemptId(), lease.request);
                started.add(lease.request);
            }
            return isRunning;
        });
        noteQueued(queued, nowMillis);
        return started;
    }

    private void noteQueued(int queued, long nowMillis) {
        int left = queued;
        for (Lease lease : leases.values()) {
            lease.isQueued = left > 0 && nowMillis - lease.sinceMillis >= TRANSIT_MILLIS;
            left -= lease.isQueued ? 1 : 0;
        }
    }

    /** Forgets all slots, as the engine restarted or was lost. */
    void clear() {
        leases.clear();
        running.clear();
    }

    /** Counts the slots that accounts hold. */
    void addTo(FairShares shares) {
        leases.values().forEach(lease -> shares.addHeld(lease.request.account(), lease.request.accountWeight()));
        running.values().forEach(request -> shares.addHeld(request.account(), request.accountWeight()));
    }

    private static final class Lease {

        private final SlotRequest request;
        private final long sinceMillis;
        private boolean isQueued;

        private Lease(SlotRequest request, long sinceMillis) {
            this.request = request;
            this.sinceMillis = sinceMillis;
        }

        private boolean isOver(long nowMillis) {
            return nowMillis - sinceMillis >= LEASE_MILLIS;
        }
    }
}
