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

    private static final int BASE_HOMES = 2;

    private final DemandThresholds marks;
    private final Precedence order;
    private final double adapterShare;

    /**
     * A strategy that gives room to demand before second homes.
     *
     * @param marks when replicas follow demand.
     */
    public RendezvousPlacement(DemandThresholds marks) {
        this(marks, Precedence.DEMAND_FIRST);
    }

    /**
     * A strategy.
     *
     * @param marks when replicas follow demand.
     * @param order what goes first when room is short.
     */
    public RendezvousPlacement(DemandThresholds marks, Precedence order) {
        this(marks, order, 0.0);
    }

    /**
     * A strategy that leaves room for adapters.
     *
     * @param marks when replicas follow demand.
     * @param order what goes first when room is short.
     * @param adapterShare the share of each side's memory that no second or further copy of a model takes.
     */
    public RendezvousPlacement(DemandThresholds marks, Precedence order, double adapterShare) {
        this.marks = marks;
        this.order = order;
        this.adapterShare = adapterShare;
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
    public Plan plan(PlacementInput view) {
        Fleet fleet = new Fleet(view.sides(), adapterShare);
        List<Wish> wishes = wishes(view, fleet);
        wishes.forEach(wish -> fleet.keepFirst(wish.item));
        guardOldVersions(view, fleet);
        if (order == Precedence.DEMAND_FIRST) {
            wishes.forEach(wish -> fleet.placeFirst(wish.item));
            placeForDemand(wishes, fleet);
        }
        placeSecondHomes(wishes, fleet);
        placeForDemand(wishes, fleet);
        placeAdapters(view, wishes, fleet);
        List<String> homeless = wishes.stream()
                .filter(wish -> fleet.copies(wish.item) == 0)
                .map(wish -> wish.item.name)
                .toList();
        return new Plan(fleet.shares(), lowSince(view, wishes), homeless);
    }

    private List<Wish> wishes(PlacementInput view, Fleet fleet) {
        return view.bundle().models().stream()
                .filter(model -> model.service().equals(view.service()))
                .sorted(Comparator.comparingInt((Bundle.Model model) -> -model.priority())
                        .thenComparingLong(model -> -model.sizeBytes())
                        .thenComparing(Bundle.Model::name))
                .map(model -> wish(view, fleet, model))
                .toList();
    }

    private Wish wish(PlacementInput view, Fleet fleet, Bundle.Model model) {
        Item item = fleet.item(model.item(), model.sizeBytes());
        double demand = view.demandUnitsPerSecond().getOrDefault(item.name, 0.0);
        return new Wish(model, item, demand, wantedCopies(view, item, demand));
    }

    /** Between the marks the number stays; below the low one it shrinks by one, and only after the hold time. */
    private int wantedCopies(PlacementInput view, Item item, double demand) {
        int now = Math.max(BASE_HOMES, item.residentAt.size());
        if (demand > now * marks.highUnitsPerSecond()) {
            return (int) Math.min(view.sides().size(), Math.ceil(demand / marks.highUnitsPerSecond()));
        }
        boolean isHeld = Optional.ofNullable(view.lowDemandSinceMillis().get(item.name))
                .map(sinceMillis -> view.nowMillis() - sinceMillis < marks.scaleDownDelayMillis())
                .orElse(true);
        return isLow(demand, now) && !isHeld ? Math.max(BASE_HOMES, now - 1) : now;
    }

    private boolean isLow(double demand, int copies) {
        return copies > BASE_HOMES && demand < copies * marks.lowUnitsPerSecond();
    }

    private Map<String, Long> lowSince(PlacementInput view, List<Wish> wishes) {
        Map<String, Long> next = new HashMap<>();
        wishes.stream()
                .filter(wish -> isLow(wish.demandUnitsPerSecond, wish.item.residentAt.size()))
                .forEach(wish -> next.put(
                        wish.item.name, view.lowDemandSinceMillis().getOrDefault(wish.item.name, view.nowMillis())));
        return Map.copyOf(next);
    }

    private static void placeSecondHomes(List<Wish> wishes, Fleet fleet) {
        wishes.forEach(wish -> fleet.keepSecond(wish.item));
        wishes.forEach(wish -> fleet.placeFirst(wish.item));
        wishes.forEach(wish -> fleet.placeElsewhere(wish.item));
    }

    private static void placeForDemand(List<Wish> wishes, Fleet fleet) {
        wishes.stream()
                .filter(wish -> wish.copies > BASE_HOMES)
                .sorted(Comparator.comparingDouble(Wish::loadPerCopy).reversed())
                .forEach(wish -> fleet.placeUpTo(wish.item, wish.copies));
    }

    /** Adapters go beside their model, the most asked first: one copy, and one more for each high mark of demand. */
    private void placeAdapters(PlacementInput view, List<Wish> wishes, Fleet fleet) {
        Map<String, Item> models =
                wishes.stream().collect(Collectors.toMap(wish -> wish.model.name(), wish -> wish.item));
        view.bundle().adapters().stream()
                .filter(adapter -> models.containsKey(adapter.model()))
                .sorted(Comparator.comparingDouble((Bundle.Adapter adapter) -> -demandFor(view, adapter))
                        .thenComparing(Bundle.Adapter::item))
                .forEach(adapter -> {
                    int copies = 1 + (int) (demandFor(view, adapter) / marks.highUnitsPerSecond());
                    Item item = fleet.item(adapter.item(), adapter.sizeBytes());
                    fleet.placeBeside(item, models.get(adapter.model()), copies);
                });
    }

    private static double demandFor(PlacementInput view, Bundle.Adapter adapter) {
        return view.demandUnitsPerSecond().getOrDefault(adapter.item(), 0.0);
    }

    /**
     * Failure: a new version is planned where the old one stands, which may not go before the new one is there. Symptom:
     * a rollout into full accelerators stops half way for good. The old version's memory therefore counts as taken;
     * its size is not known any more, so that of the new one stands for it.
     */
    private static void guardOldVersions(PlacementInput view, Fleet fleet) {
        Map<String, Bundle.Model> byPrefix = view.bundle().models().stream()
                .filter(model -> model.service().equals(view.service()))
                .collect(Collectors.toMap(model -> "model:" + model.name(), model -> model));
        List<Item> old = new ArrayList<>();
        fleet.residentNames().forEach(name -> {
            int versionAt = name.lastIndexOf('@');
            Bundle.Model current = byPrefix.get(versionAt < 0 ? name : name.substring(0, versionAt));
            if (current != null && !current.item().equals(name) && !fleet.isResident(current.item())) {
                old.add(fleet.item(name, current.sizeBytes()));
            }
        });
        old.stream().sorted(Comparator.comparing(item -> item.name)).forEach(fleet::guard);
    }

    private record Wish(Bundle.Model model, Item item, double demandUnitsPerSecond, int copies) {

        double loadPerCopy() {
            return demandUnitsPerSecond / Math.max(1, item.residentAt.size());
        }
    }
}
