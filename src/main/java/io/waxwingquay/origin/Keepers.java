package io.waxwingquay.origin;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.placement.RendezvousHash;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** The processes that may keep origins, ranked for each stream by rendezvous hashing. Immutable. */
final class Keepers {

    private final Set<HostPort> processes;
    private final List<HostPort> ordered;
    private final long[] hashes;

    private Keepers(Set<HostPort> processes) {
        this.processes = Set.copyOf(processes);
        this.ordered = List.copyOf(processes);
        this.hashes = ordered.stream()
                .mapToLong(process -> RendezvousHash.hash(process.toString()))
                .toArray();
    }

    static Keepers of(Set<HostPort> processes) {
        return new Keepers(processes);
    }

    boolean areExactly(Set<HostPort> others) {
        return processes.equals(others);
    }

    boolean isEmpty() {
        return ordered.isEmpty();
    }

    /** Returns the processes that rank first for a stream, the first of them first. */
    List<HostPort> rankedFor(long streamHash, int count) {
        int[] indexes = new int[count];
        double[] scores = new double[count];
        int filled = 0;
        for (int index = 0; index < hashes.length; index++) {
            double score = RendezvousHash.uniform(streamHash, hashes[index]);
            if (filled < count || score > scores[filled - 1]) {
                filled = Math.min(count, filled + 1);
                insert(indexes, scores, filled, index, score);
            }
        }
        List<HostPort> ranked = new ArrayList<>(filled);
        for (int rank = 0; rank < filled; rank++) {
            ranked.add(ordered.get(indexes[rank]));
        }
        return ranked;
    }

    /** Inserts a process in the place of the last one, and moves it up to its rank. */
    private static void insert(int[] indexes, double[] scores, int filled, int index, double score) {
        int rank = filled - 1;
        while (rank > 0 && scores[rank - 1] < score) {
            scores[rank] = scores[rank - 1];
            indexes[rank] = indexes[rank - 1];
            rank--;
        }
        scores[rank] = score;
        indexes[rank] = index;
    }
}
