package io.waxwingquay.bench;

import io.waxwingquay.placement.DemandMarks;
import io.waxwingquay.placement.Strategy;

/**
 * Routing and placement that are measured together.
 *
 * @param name the name that the command line uses.
 * @param routing the routing policy's name.
 * @param placement decides what each side holds.
 */
record PolicyPair(String name, String routing, Strategy placement) {

    private static final String KNOWN = "waxwingquay, round-robin, least-outstanding, model-hash, load-on-miss-lru, "
            + "round-robin-blind or least-outstanding-blind";

    static PolicyPair named(String name) {
        return switch (name) {
            case "waxwingquay" -> new PolicyPair(name, "waxwingquay", placement("planned"));
            case "round-robin" -> new PolicyPair(name, "round-robin-resident", placement("static"));
            case "least-outstanding" -> new PolicyPair(name, "least-outstanding-resident", placement("static"));
            case "model-hash" -> new PolicyPair(name, "model-hash", placement("load-on-miss"));
            case "load-on-miss-lru" -> new PolicyPair(name, "least-outstanding-resident", placement("load-on-miss"));
            case "round-robin-blind" -> new PolicyPair(name, "round-robin", placement("load-on-miss"));
            case "least-outstanding-blind" -> new PolicyPair(name, "least-outstanding", placement("load-on-miss"));
            default -> throw new IllegalArgumentException("policy '" + name + "' is unknown; write " + KNOWN);
        };
    }

    private static Strategy placement(String name) {
        return Strategy.named(name, DemandMarks.DEFAULT);
    }
}
