package io.waxwingquay.membership;

import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SideState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The recently changed records and how many more times each is to be pushed. Safe for concurrent use.
 *
 * <p>An ordinary record is pushed a small fixed number of times, which reaches nearly all processes; the comparison of
 * hashes reaches the rest. A leaving or gone side is pushed about log2 N times, which reaches all processes with high
 * probability, because a process may send work to the side until it learns of the change.
 */
final class Rumours {

    private static final int ORDINARY_SENDS = 4;

    private final MemberTable table;
    private final Map<String, Integer> sendsLeft = new HashMap<>();

    Rumours(MemberTable table) {
        this.table = table;
    }

    synchronized void add(SideRecord record) {
        sendsLeft.put(record.getSideId(), isUrgent(record) ? urgentSends() : ORDINARY_SENDS);
    }

    static boolean isUrgent(SideRecord record) {
        return record.getState() == SideState.LEAVING || record.getState() == SideState.GONE;
    }

    synchronized boolean isEmpty() {
        return sendsLeft.isEmpty();
    }

    /** Takes the least spread records first, up to a size limit; each counts as sent to the given number of peers. */
    synchronized List<SideRecord> take(int maxBytes, int peers) {
        List<Map.Entry<String, Integer>> leastSpreadFirst = new ArrayList<>(sendsLeft.entrySet());
        leastSpreadFirst.sort(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder())
                .thenComparing(Map.Entry.comparingByKey()));
        List<SideRecord> taken = new ArrayList<>();
        int sizeBytes = 0;
        for (Map.Entry<String, Integer> rumour : leastSpreadFirst) {
            SideRecord record = table.record(rumour.getKey()).orElse(null);
            int recordBytes = record == null ? 0 : Records.sizeBytes(record);
            if (!taken.isEmpty() && sizeBytes + recordBytes > maxBytes) {
                break;
            }
            if (record != null) {
                taken.add(record);
                sizeBytes += recordBytes;
            }
            sendsLeft.computeIfPresent(rumour.getKey(), (id, left) -> left > peers ? left - peers : null);
        }
        return taken;
    }

    private int urgentSends() {
        return ORDINARY_SENDS + Integer.SIZE - Integer.numberOfLeadingZeros(table.size());
    }
}
