package io.waxwingquay.bench;

import io.waxwingquay.placement.DemandThresholds;
import io.waxwingquay.placement.PlacementStrategy;
import io.waxwingquay.process.SideProcess.Decisions;
import io.waxwingquay.side.AdmissionRule;

/**
 * A routing policy with the placement and admission of the sides, which are measured together.
 *
 * @param name the name on the command line.
 * @param routing name of the entries' routing policy.
 * @param decisions placement and admission of the sides.
 */
record PolicyPair(String name, String routing, Decisions decisions) {

    private static final String KNOWN_NAMES =
            "waxwingquay, waxwingquay-1 to -7, round-robin, least-outstanding, model-hash, "
                    + "load-on-miss-lru, round-robin-blind or least-outstanding-blind";

    /** Thresholds that add a copy of a model at a third of the demand at which the default ones do. */
    private static final DemandThresholds EARLY_SCALING_THRESHOLDS = new DemandThresholds(1.0, 0.3, 60_000);

    static PolicyPair named(String name) {
        return switch (name) {
            case "waxwingquay" -> new PolicyPair(name, "waxwingquay", Decisions.DEFAULT);
            case "waxwingquay-1" -> of(name, "waxwingquay-1", "planned-1", AdmissionRule.WAIT_ONLY);
            case "waxwingquay-2" -> of(name, "waxwingquay", "planned-1", AdmissionRule.WAIT_ONLY);
            case "waxwingquay-3" -> of(name, "waxwingquay", "planned-1", AdmissionRule.WITH_RUN_TIME);
            case "waxwingquay-4" -> of(name, "waxwingquay", "planned-1", AdmissionRule.START_CHECK_ONLY);
            case "waxwingquay-5" -> of(name, "waxwingquay", "planned-2", AdmissionRule.WITH_RUN_TIME);
            case "waxwingquay-6" -> new PolicyPair(
                    name,
                    "waxwingquay",
                    new Decisions(
                            PlacementStrategy.named("planned-2", EARLY_SCALING_THRESHOLDS),
                            AdmissionRule.WITH_RUN_TIME));
            case "waxwingquay-7" -> of(name, "waxwingquay", "planned-2", AdmissionRule.WITH_MARGIN);
            case "round-robin" -> baseline(name, "round-robin-resident", "static");
            case "least-outstanding" -> baseline(name, "least-outstanding-resident", "static");
            case "model-hash" -> baseline(name, "model-hash", "load-on-miss");
            case "load-on-miss-lru" -> baseline(name, "least-outstanding-resident", "load-on-miss");
            case "round-robin-blind" -> baseline(name, "round-robin", "load-on-miss");
            case "least-outstanding-blind" -> baseline(name, "least-outstanding", "load-on-miss");
            default -> throw new IllegalArgumentException("policy '" + name + "' is unknown; write " + KNOWN_NAMES);
        };
    }

    Decisions decisionsHeldBy(PlacementGate gate) {
        return new Decisions(gate.holdUntilOpen(decisions.placement()), decisions.admission());
    }

    private static PolicyPair baseline(String name, String routing, String placement) {
        return of(name, routing, placement, AdmissionRule.WAIT_ONLY);
    }

    private static PolicyPair of(String name, String routing, String placement, AdmissionRule admission) {
        return new PolicyPair(
                name, routing, new Decisions(PlacementStrategy.named(placement, DemandThresholds.DEFAULT), admission));
    }
}
