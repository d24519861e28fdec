package io.waxwingquay.placement;

/**
 * Decides which items each side of a service is to hold. Pure: the same view gives the same plan in every process,
 * so no process has to lead.
 */
@FunctionalInterface
public interface PlacementStrategy {

    /** The share of each side's memory that the product keeps for adapters and first copies. */
    double ADAPTER_MEMORY_SHARE = 1.0 / 16;

    /**
     * Decides.
     *
     * @param input what is known.
     * @return what each side is to hold.
     */
    Plan plan(PlacementInput input);

    /**
     * A strategy by the name that settings use.
     *
     * @param name {@code planned}, its earlier {@code planned-1} and {@code planned-2}, {@code static} or {@code load-on-miss}.
     * @param thresholds the marks of the planned ones.
     * @return the strategy.
     * @throws IllegalArgumentException if no strategy has that name.
     */
    static PlacementStrategy named(String name, DemandThresholds thresholds) {
        return switch (name) {
            case "planned" -> new RendezvousPlacement(
                    thresholds, RendezvousPlacement.Precedence.DEMAND_FIRST, ADAPTER_MEMORY_SHARE);
            case "planned-2" -> new RendezvousPlacement(thresholds);
            case "planned-1" -> new RendezvousPlacement(thresholds, RendezvousPlacement.Precedence.SECOND_COPIES_FIRST);
            case "static" -> PlacementStrategy::planBaseCopies;
            case "load-on-miss" -> new LoadOnMiss();
            default -> throw new IllegalArgumentException(
                    "placement strategy '" + name + "' is not known; write planned, static or load-on-miss");
        };
    }

    private static Plan planBaseCopies(PlacementInput input) {
        return new RendezvousPlacement(DemandThresholds.DISABLED).plan(input.withoutDemandAndResidency());
    }
}
