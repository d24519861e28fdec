package io.waxwingquay.placement;

/**
 * Decides which items each side of a service should hold. Pure: the same input gives the same plan in every process, so
 * no leader is needed.
 */
@FunctionalInterface
public interface PlacementStrategy {

    /** The share of each side's memory that the default strategy reserves for adapters and first copies. */
    double ADAPTER_MEMORY_SHARE = 1.0 / 16;

    /**
     * Computes a plan.
     *
     * @param input the state to decide from.
     * @return the items that each side should hold.
     */
    Plan plan(PlacementInput input);

    /**
     * Finds a strategy by its name in the settings.
     *
     * @param name {@code planned}, its earlier versions {@code planned-1} and {@code planned-2}, {@code static} or
     *     {@code load-on-miss}.
     * @param thresholds the demand thresholds of the planned strategies.
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
                    "placement strategy '" + name + "' is unknown; write planned, static or load-on-miss");
        };
    }

    private static Plan planBaseCopies(PlacementInput input) {
        return new RendezvousPlacement(DemandThresholds.DISABLED).plan(input.withoutDemandAndResidency());
    }
}
