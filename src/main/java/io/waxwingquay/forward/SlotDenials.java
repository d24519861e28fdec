package io.waxwingquay.forward;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The denials of slots that one request has received. With each time that it told, a side process has booked a place; the
 * place is cancelled unless the caller is told this time, as it would delay other callers for nothing.
 */
final class SlotDenials {

    private static final Comparator<Denied> SHORTEST_TIME_FIRST = Comparator.<Denied, Boolean>comparing(
                    denied -> denied.denial.hasRetryTime())
            .reversed()
            .thenComparingLong(denied -> denied.denial.retryAfterMillis());

    private final SlotRequester requester;
    private final Map<Target, Denied> byTarget = new LinkedHashMap<>();

    /**
     * Creates an empty set of denials.
     *
     * @param requester cancels the places that are not used.
     */
    SlotDenials(SlotRequester requester) {
        this.requester = requester;
    }

    void add(SlotRequester.Call call, SlotDenial denial) {
        byTarget.put(call.target(), new Denied(call, denial));
    }

    int size() {
        return byTarget.size();
    }

    boolean isEmpty() {
        return byTarget.isEmpty();
    }

    /** Returns the engines that have denied a slot. */
    Set<Target> targets() {
        return byTarget.keySet();
    }

    /** Returns the denial with the shortest time; there must be at least one denial. */
    SlotDenial shortest() {
        return shortestDenied().denial;
    }

    /** Forgets all denials and cancels the places that were booked with them. */
    void cancelAll() {
        cancel(List.copyOf(byTarget.values()));
    }

    /** Forgets all denials, as the request comes back at the shortest time, and cancels the other places. */
    void useShortest() {
        Denied used = shortestDenied();
        cancel(byTarget.values().stream().filter(denied -> denied != used).toList());
    }

    private Denied shortestDenied() {
        return byTarget.values().stream().min(SHORTEST_TIME_FIRST).orElseThrow();
    }

    private void cancel(List<Denied> unused) {
        byTarget.clear();
        unused.stream()
                .filter(denied -> denied.denial.hasRetryTime())
                .map(Denied::call)
                .forEach(requester::cancel);
    }

    private record Denied(SlotRequester.Call call, SlotDenial denial) {}
}
