package io.waxwingquay.placement;

import io.waxwingquay.bundle.Bundle;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Places base copies of every model by weighted rendezvous hashing, and further copies by demand.
 *
 * <p>Copies are placed in passes: the first two copies of each model where they are resident, one copy of each model
 * that has none, the second base copies, copies for demand, adapters. {@link Precedence#DEMAND_FIRST} runs the passes
 * for missing first copies and for demand ahead of those for second copies too. Resident copies therefore stay, and
 * while memory suffices a leaving side moves only the items that it held; when memory is short, a model without any
 * copy displaces second copies of others. Every copy counts against the side's memory, and a copy that does not fit is
 * not planned. Larger models are placed first, which leaves fewer models unplaced when memory is short.
 *
 * <p>The first resident copy of each model by score is protected. All sides agree on it while they agree on which sides
 * are live, so the last copy is not evicted, nor are two copies at once. While a new version has no resident copy, the
 * first copy of an old version is protected in its place.
 */
public final class RendezvousPlacement implements PlacementStrategy {

    private static final int BASE_COPIES = 2;

    private final DemandThresholds thresholds;
    private final Precedence precedence;
    private final double adapterMemoryShare;

    /**
     * Creates a strategy that places copies for demand before second copies.
     *
     * @param thresholds when the number of copies follows demand.
     */
    public RendezvousPlacement(DemandThresholds thresholds) {
        this(thresholds, Precedence.DEMAND_FIRST);
    }

    /**
     * Creates a strategy that reserves no memory for adapters.
     *
     * @param thresholds when the number of copies follows demand.
     * @param precedence which copies are placed first when memory is short.
     */
    public RendezvousPlacement(DemandThresholds thresholds, Precedence precedence) {
        this(thresholds, precedence, 0.0);
    }

    /**
     * Creates a strategy that reserves memory for adapters.
     *
     * @param thresholds when the number of copies follows demand.
     * @param precedence which copies are placed first when memory is short.
     * @param adapterMemoryShare the share of each side's memory that no second or further copy of a model may use.
     */
    public RendezvousPlacement(DemandThresholds thresholds, Precedence precedence, double adapterMemoryShare) {
        this.thresholds = thresholds;
        this.precedence = precedence;
        this.adapterMemoryShare = adapterMemoryShare;
    }

    /** Which copies are placed first when memory is short. */
    public enum Precedence {
        /** Copies for demand, then second copies of models with little demand. */
        DEMAND_FIRST,
        /** Second copies of all models, then copies for demand. */
        SECOND_COPIES_FIRST
    }

    /** {@inheritDoc} */
    @Override
    public Plan plan(PlacementInput input) {
        PlanBuilder builder = new PlanBuilder(input.sides(), adapterMemoryShare);
        List<WantedModel> wantedModels = wantedModels(input, builder);
        wantedModels.forEach(wanted -> builder.retainFirstCopy(wanted.item));
        protectOldVersions(input, builder);
        if (precedence == Precedence.DEMAND_FIRST) {
            wantedModels.forEach(wanted -> builder.placeFirstCopy(wanted.item));
            placeDemandCopies(wantedModels, builder);
        }
        placeSecondCopies(wantedModels, builder);
        placeDemandCopies(wantedModels, builder);
        placeAdapters(input, wantedModels, builder);
        List<String> unplaced = wantedModels.stream()
                .filter(wanted -> builder.plannedCopies(wanted.item) == 0)
                .map(wanted -> wanted.item.name)
                .toList();
        return new Plan(builder.shares(), lowDemandSince(input, wantedModels), unplaced);
    }

    private List<WantedModel> wantedModels(PlacementInput input, PlanBuilder builder) {
        return input.bundle().models().stream()
                .filter(model -> model.service().equals(input.service()))
                .sorted(Comparator.comparingInt((Bundle.Model model) -> -model.priority())
                        .thenComparingLong(model -> -model.sizeBytes())
                        .thenComparing(Bundle.Model::name))
                .map(model -> wantedModel(input, builder, model))
                .toList();
    }

    private WantedModel wantedModel(PlacementInput input, PlanBuilder builder, Bundle.Model model) {
        PlanItem item = builder.item(model.item(), model.sizeBytes());
        double demand = input.demandUnitsPerSecond().getOrDefault(item.name, 0.0);
        return new WantedModel(model, item, demand, wantedCopies(input, item, demand));
    }

    /**
     * Returns the number of copies to plan. Between the thresholds it is unchanged; below the low threshold it shrinks
     * by one, and only after the delay.
     */
    private int wantedCopies(PlacementInput input, PlanItem item, double demand) {
        int currentCopies = Math.max(BASE_COPIES, item.residentSides.size());
        if (demand > currentCopies * thresholds.highUnitsPerSecond()) {
            return (int) Math.min(input.sides().size(), Math.ceil(demand / thresholds.highUnitsPerSecond()));
        }
        boolean isDelayPending = Optional.ofNullable(
                        input.lowDemandSinceMillis().get(item.name))
                .map(sinceMillis -> input.nowMillis() - sinceMillis < thresholds.scaleDownDelayMillis())
                .orElse(true);
        return isBelowLowThreshold(demand, currentCopies) && !isDelayPending
                ? Math.max(BASE_COPIES, currentCopies - 1)
                : currentCopies;
    }

    private boolean isBelowLowThreshold(double demand, int copies) {
        return copies > BASE_COPIES && demand < copies * thresholds.lowUnitsPerSecond();
    }

    private Map<String, Long> lowDemandSince(PlacementInput input, List<WantedModel> wantedModels) {
        Map<String, Long> next = new HashMap<>();
        wantedModels.stream()
                .filter(wanted -> isBelowLowThreshold(wanted.demandUnitsPerSecond, wanted.item.residentSides.size()))
                .forEach(wanted -> next.put(
                        wanted.item.name,
                        input.lowDemandSinceMillis().getOrDefault(wanted.item.name, input.nowMillis())));
        return Map.copyOf(next);
    }

    private static void placeSecondCopies(List<WantedModel> wantedModels, PlanBuilder builder) {
        wantedModels.forEach(wanted -> builder.retainSecondCopy(wanted.item));
        wantedModels.forEach(wanted -> builder.placeFirstCopy(wanted.item));
        wantedModels.forEach(wanted -> builder.placeSecondCopy(wanted.item));
    }

    private static void placeDemandCopies(List<WantedModel> wantedModels, PlanBuilder builder) {
        wantedModels.stream()
                .filter(wanted -> wanted.copies > BASE_COPIES)
                .sorted(Comparator.comparingDouble(WantedModel::demandPerCopy).reversed())
                .forEach(wanted -> builder.placeCopies(wanted.item, wanted.copies));
    }

    /**
     * Places adapters on sides that hold their model, the most requested first: one copy, and one more for each
     * multiple of the high threshold.
     */
    private void placeAdapters(PlacementInput input, List<WantedModel> wantedModels, PlanBuilder builder) {
        Map<String, PlanItem> models =
                wantedModels.stream().collect(Collectors.toMap(wanted -> wanted.model.name(), wanted -> wanted.item));
        input.bundle().adapters().stream()
                .filter(adapter -> models.containsKey(adapter.model()))
                .sorted(Comparator.comparingDouble((Bundle.Adapter adapter) -> -demandFor(input, adapter))
                        .thenComparing(Bundle.Adapter::item))
                .forEach(adapter -> {
                    int copies = 1 + (int) (demandFor(input, adapter) / thresholds.highUnitsPerSecond());
                    PlanItem item = builder.item(adapter.item(), adapter.sizeBytes());
                    builder.placeAdapter(item, models.get(adapter.model()), copies);
                });
    }

    private static double demandFor(PlacementInput input, Bundle.Adapter adapter) {
        return input.demandUnitsPerSecond().getOrDefault(adapter.item(), 0.0);
    }

    /**
     * Protects old versions and counts their memory as taken. If a new version were planned in the memory of the old
     * one, which must not be evicted before the new one is resident, a rollout onto full accelerators would never
     * complete. The size of the old version is no longer known, so that of the new one is used.
     */
    private static void protectOldVersions(PlacementInput input, PlanBuilder builder) {
        Map<String, Bundle.Model> modelsByItemPrefix = input.bundle().models().stream()
                .filter(model -> model.service().equals(input.service()))
                .collect(Collectors.toMap(model -> "model:" + model.name(), model -> model));
        List<PlanItem> oldVersions = new ArrayList<>();
        builder.residentNames().forEach(name -> {
            int versionAt = name.lastIndexOf('@');
            Bundle.Model current = modelsByItemPrefix.get(versionAt < 0 ? name : name.substring(0, versionAt));
            if (current != null && !current.item().equals(name) && !builder.isResident(current.item())) {
                oldVersions.add(builder.item(name, current.sizeBytes()));
            }
        });
        oldVersions.stream().sorted(Comparator.comparing(item -> item.name)).forEach(builder::protectOldVersion);
    }

    private record WantedModel(Bundle.Model model, PlanItem item, double demandUnitsPerSecond, int copies) {

        double demandPerCopy() {
            return demandUnitsPerSecond / Math.max(1, item.residentSides.size());
        }
    }
}
