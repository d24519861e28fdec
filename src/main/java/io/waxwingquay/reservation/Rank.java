package io.waxwingquay.reservation;

import java.util.Comparator;

/**
 * The rank of a request among those that wait for the same slots, the most urgent first.
 *
 * @param accountPriority the priority of its client account, of which the lowest comes first; 0 if it has none.
 * @param routePriority the priority of its route, of which the lowest comes first.
 * @param objectiveMillis the latency objective of its route.
 */
public record Rank(int accountPriority, int routePriority, long objectiveMillis) implements Comparable<Rank> {

    private static final Comparator<Rank> ORDER = Comparator.comparingInt(Rank::accountPriority)
            .thenComparingInt(Rank::routePriority)
            .thenComparingLong(Rank::objectiveMillis);

    /** {@inheritDoc} */
    @Override
    public int compareTo(Rank other) {
        return ORDER.compare(this, other);
    }
}
