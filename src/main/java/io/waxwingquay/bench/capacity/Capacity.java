package io.waxwingquay.bench.capacity;

import java.io.PrintWriter;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Raises sizes step by step and prints, for each cost, the steps, the line through them and its error.
 */
public final class Capacity {

    private final PrintWriter out;

    /**
     * A run.
     *
     * @param out where the tables go.
     */
    public Capacity(PrintWriter out) {
        this.out = out;
    }

    /**
     * Measures everything, or one part.
     *
     * @param part the part.
     */
    public void run(Part part) {
        for (Part each : part == Part.ALL ? List.of(Part.values()) : List.of(part)) {
            each.tables.get().forEach(this::print);
        }
        if (part == Part.ALL || part == Part.GOSSIP) {
            out.println("\n" + GossipCosts.partitionedRegions());
        }
        out.flush();
    }

    private void print(StepTable table) {
        out.print(table.toMarkdown());
        out.flush();
    }

    /** What can be measured alone. */
    public enum Part {
        /** Everything. */
        ALL(Stream::of),
        /** Record sizes, heap and processor time. */
        COSTS(Costs::all),
        /** Traffic and delay of gossip. */
        GOSSIP(GossipCosts::all),
        /** The table service's load by claims. */
        TABLE(TableLoad::all),
        /** Bundle documents. */
        BUNDLES(BundleSizes::all);

        private final Supplier<Stream<StepTable>> tables;

        Part(Supplier<Stream<StepTable>> tables) {
            this.tables = tables;
        }
    }
}
