package io.waxwingquay.placement;

/**
 * Decides which items each side of a service is to hold. Pure: the same view gives the same plan in every process,
 * so no process has to lead.
 */
@FunctionalInterface
public interface Strategy {

    /** The share of each side's memory that the product keeps for adapters and first copies. */
    double ADAPTER_SHARE = 1.0 / 16;

    /**
     * Decides.
     *
     * @param view what is known.
     * @return what each side is to hold.
     */
    Plan plan(View view);

    /**
     * A strategy by the name that settings use.
     *
     * @param name {@code planned}, its earlier {@code planned-1} and {@code planned-2}, {@code static} or {@code load-on-miss}.
     * @param demandMarks the marks of the planned ones.
     * @return the strategy.
     * @throws IllegalArgumentException if no strategy has that name.
     */
    static Strategy named(String name, DemandMarks demandMarks) {
        return switch (name) {
            case "planned" -> new Placement(demandMarks, Placement.Order.DEMAND_FIRST, ADAPTER_SHARE);
            case "planned-2" -> new Placement(demandMarks);
            case "planned-1" -> new Placement(demandMarks, Placement.Order.SECOND_HOMES_FIRST);
            case "static" -> Strategy::planBaseHomes;
            case "load-on-miss" -> new LoadOnMiss();
            default -> throw new IllegalArgumentException(
                    "placement strategy '" + name + "' is not known; write planned, static or load-on-miss");
        };
    }

    private static Plan planBaseHomes(View view) {
        return new Placement(DemandMarks.IGNORED).plan(view.withoutDemandAndResidency());
    }
}
