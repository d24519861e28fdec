package io.waxwingquay.standin;

import io.waxwingquay.store.VmList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Every recent announcement of every VM, so that the list can be shown as it was.
 */
final class VmHistory {

    private static final long KEPT_MICROS = 300_000_000L;
    private static final long MICROS_PER_MILLI = 1_000L;

    private final StandinTimer timer;
    private final long lagMicros;
    private final long expiryMicros;
    private final Map<String, Deque<Announcement>> announcements = new TreeMap<>();

    VmHistory(StandinTimer timer, long lagMillis, long expiryMillis) {
        this.timer = timer;
        this.lagMicros = lagMillis * MICROS_PER_MILLI;
        this.expiryMicros = expiryMillis * MICROS_PER_MILLI;
    }

    synchronized void announce(VmList.Vm vm) {
        long nowMicros = timer.nowMicros();
        Deque<Announcement> ofVm = announcements.computeIfAbsent(vm.name(), name -> new ArrayDeque<>());
        ofVm.addLast(new Announcement(nowMicros, vm));
        while (ofVm.getFirst().atMicros() < nowMicros - KEPT_MICROS) {
            ofVm.removeFirst();
        }
    }

    synchronized List<VmList.Vm> list(long backwardsMillis) {
        long atMicros = timer.nowMicros() - lagMicros - backwardsMillis * MICROS_PER_MILLI;
        return announcements.values().stream()
                .flatMap(ofVm -> latest(ofVm, atMicros).stream())
                .toList();
    }

    private Optional<VmList.Vm> latest(Deque<Announcement> ofVm, long atMicros) {
        Iterator<Announcement> newestFirst = ofVm.descendingIterator();
        while (newestFirst.hasNext()) {
            Announcement announcement = newestFirst.next();
            if (announcement.atMicros() <= atMicros) {
                boolean listed = announcement.atMicros() >= atMicros - expiryMicros;
                return listed ? Optional.of(announcement.vm()) : Optional.empty();
            }
        }
        return Optional.empty();
    }

    private record Announcement(long atMicros, VmList.Vm vm) {}
}
