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
 * The recent announcements of all VMs, from which the VM list can be served as of an earlier time.
 */
final class VmHistory {

    private static final long RETENTION_MICROS = 300_000_000L;
    private static final long MICROS_PER_MILLI = 1_000L;

    private final StandinTimer timer;
    private final long lagMicros;
    private final long expiryMicros;
    private final Map<String, Deque<Announcement>> announcementsByVm = new TreeMap<>();

    VmHistory(StandinTimer timer, long lagMillis, long expiryMillis) {
        this.timer = timer;
        this.lagMicros = lagMillis * MICROS_PER_MILLI;
        this.expiryMicros = expiryMillis * MICROS_PER_MILLI;
    }

    synchronized void announce(VmList.Vm vm) {
        long nowMicros = timer.nowMicros();
        Deque<Announcement> vmAnnouncements = announcementsByVm.computeIfAbsent(vm.name(), name -> new ArrayDeque<>());
        vmAnnouncements.addLast(new Announcement(nowMicros, vm));
        while (vmAnnouncements.getFirst().atMicros() < nowMicros - RETENTION_MICROS) {
            vmAnnouncements.removeFirst();
        }
    }

    /** Returns the VMs that were listed at the time that the lag and an additional age imply. */
    synchronized List<VmList.Vm> list(long backwardsMillis) {
        long atMicros = timer.nowMicros() - lagMicros - backwardsMillis * MICROS_PER_MILLI;
        return announcementsByVm.values().stream()
                .flatMap(vmAnnouncements -> listedAt(vmAnnouncements, atMicros).stream())
                .toList();
    }

    private Optional<VmList.Vm> listedAt(Deque<Announcement> vmAnnouncements, long atMicros) {
        Iterator<Announcement> newestFirst = vmAnnouncements.descendingIterator();
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
