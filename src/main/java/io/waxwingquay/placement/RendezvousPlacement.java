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
 * Homes for every model by rendezvous hashing, and further replicas by demand.
 *
 * <p>Copies are placed in passes: the first two copies of each model where they are resident, one copy of each model
 * that has none, the second base homes, copies for demand, adapters. So what is resident stays, and a side that
 * leaves moves only what it held while there is room; when there is none, a model without any home takes the room of
 * others' second copies. Every copy is counted against the side's memory; what does not fit is not planned. Larger
 * models go first, which leaves fewer without a home when room is short.
 *
 * <p>The first resident replica of each model by rank is protected. All sides agree which one it is while they agree
 * which sides are live, so the last replica is not evicted, nor are two at once. While a new version has no resident
 * replica, the first replica of an old version is protected in its place.
 */
public final class RendezvousPlacement implements PlacementStrategy {

    private static final int BASE_COPIES = 2;

    private final DemandThresholds thresholds;
    private final Precedence precedence;
    private final double adapterMemoryShare;

    /**
     * A strategy that gives room to demand before second homes.
     *
     * @param thresholds when replicas follow demand.
     */
    public RendezvousPlacement(DemandThresholds thresholds) {
        this(thresholds, Precedence.DEMAND_FIRST);
    }

    /**
     * A strategy.
     *
     * @param thresholds when replicas follow demand.
     * @param precedence what goes first when room is short.
     */
    public RendezvousPlacement(DemandThresholds thresholds, Precedence precedence) {
        this(thresholds, precedence, 0.0);
    }

    /**
     * A strategy that leaves room for adapters.
     *
     * @param thresholds when replicas follow demand.
     * @param precedence what goes first when room is short.
     * @param adapterMemoryShare the share of each side's memory that no second or further copy of a model takes.
     */
    public RendezvousPlacement(DemandThresholds thresholds, Precedence precedence, double adapterMemoryShare) {
        this.thresholds = thresholds;
        this.precedence = precedence;
        this.adapterMemoryShare = adapterMemoryShare;
    }

    /** What goes first when room is short. */
    public enum Precedence {
        /** Copies for demand, then second homes of what is asked little. */
        DEMAND_FIRST,
        /** Second homes of all models, then copies for demand. */
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

    /** Between the marks the number stays; below the low one it shrinks by one, and only after the hold time. */
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

    /** Adapters go beside their model, the most asked first: one copy, and one more for each high mark of demand. */
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
     * Failure: a new version is planned where the old one stands, which may not go before the new one is there. Symptom:
     * a rollout into full accelerators stops half way for good. The old version's memory therefore counts as taken;
     * its size is not known any more, so that of the new one stands for it.
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
