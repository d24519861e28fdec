package io.waxwingquay.forward;

import io.waxwingquay.fleet.LatenessCurve;

/** Estimates what it costs a request to be sent to an engine, in milliseconds of waiting. */
final class EngineCost {

    /**
     * Cost of a replica in another data centre, which takes a round trip and priced bytes; it is chosen when it is less
     * busy by this.
     */
    private static final double OTHER_ZONE_COST_MILLIS = 4.0;

    /** Cost of a fully used engine: at full batch the tokens of a short answer take about this much longer in all. */
    private static final double FULL_BATCH_COST_MILLIS = 60.0;

    /** Cost of a late answer, and, in the next constant, of a failed one, against a millisecond of one in time. */
    private static final double LATE_COST_MILLIS = 400.0;

    private static final double FAILURE_COST_MILLIS = 600.0;

    /** Share of an engine's time to the first event that counts as cost; most of that time is due to the prompts. */
    private static final double SLOWNESS_SHARE = 0.5;

    /** Upper bound of the cost of slowness, so that an engine is not avoided for slowness more than for failures. */
    private static final double MAX_SLOWNESS_COST_MILLIS = 300.0;

    /** Cost of an engine whose streams could not be resumed if it failed, while other engines have substitutes. */
    private static final double NO_SUBSTITUTE_COST_MILLIS = 30.0;

    /** Time to load an adapter into a free slot, and, in the next constant, to evict another adapter first. */
    private static final double ADAPTER_LOAD_MILLIS = 25.0;

    private static final double ADAPTER_EVICTION_MILLIS = 40.0;
    private static final double ADAPTER_SLOTS_BUSY_COST_MILLIS = 1_000.0;

    /** Largest difference in cost by which entries prefer the same replica for an adapter that no replica holds yet. */
    private static final double MAX_AFFINITY_COST_MILLIS = 15.0;

    private final String zone;

    /**
     * Creates the estimates of an entry.
     *
     * @param zone its data centre.
     */
    EngineCost(String zone) {
        this.zone = zone;
    }

    boolean isInOwnZone(Target target) {
        return target.record().zone().equals(zone);
    }

    /** Returns the cost of the data centre of a replica that grants no slots. */
    double zoneMillis(Target target) {
        return isInOwnZone(target) ? 0 : OTHER_ZONE_COST_MILLIS;
    }

    /** Returns the whole cost of an engine whose load is estimated here, as it grants no slots. */
    double estimatedMillis(Target target, EngineSelection.Query query) {
        double loadMillis = loadMillis(target, target.expectedLoad(query.nowMillis()), query);
        double adapterMillis = query.requirements()
                .adapter()
                .map(name -> adapterMillis(target, name, query) + affinityMillis(target, name, query))
                .orElse(0.0);
        double substituteMillis = query.withoutSubstitute().contains(target) ? NO_SUBSTITUTE_COST_MILLIS : 0;
        return loadMillis + adapterMillis + zoneMillis(target) + substituteMillis;
    }

    /** Returns the cost of an engine by the load that it reported, without its data centre and the adapter. */
    double reportedMillis(Target target, EngineSelection.Query query) {
        double substituteMillis = query.withoutSubstitute().contains(target) ? NO_SUBSTITUTE_COST_MILLIS : 0;
        return loadMillis(target, target.reportedLoad(query.nowMillis()), query) + substituteMillis;
    }

    /** Returns the time until an engine is expected to have the adapter of the request; 0 if it is loaded. */
    double adapterMillis(Target target, String adapter, EngineSelection.Query query) {
        long nowMillis = query.nowMillis();
        if (target.holdsAdapter(query.requirements().model(), adapter, nowMillis)) {
            return 0;
        }
        long modelMillis = target.remainingLoadMillis(nowMillis);
        if (modelMillis > 0) {
            return ADAPTER_EVICTION_MILLIS + modelMillis;
        }
        int slots = query.engine().adapterSlots();
        if (target.adaptersInUse().size() >= slots) {
            return ADAPTER_SLOTS_BUSY_COST_MILLIS;
        }
        return target.loadedAdapterCount(nowMillis) < slots ? ADAPTER_LOAD_MILLIS : ADAPTER_EVICTION_MILLIS;
    }

    private static double loadMillis(Target target, int load, EngineSelection.Query query) {
        double utilisation = load / (double) query.engine().slots();
        double slownessMillis = Math.min(
                MAX_SLOWNESS_COST_MILLIS,
                SLOWNESS_SHARE * target.attemptHistory().recentAnswerMillis(query.nowMillis()));
        return FULL_BATCH_COST_MILLIS * utilisation
                + LATE_COST_MILLIS * LatenessCurve.lateShare(utilisation)
                + FAILURE_COST_MILLIS * target.attemptHistory().failureShare(query.nowMillis())
                + slownessMillis;
    }

    private static double affinityMillis(Target target, String adapter, EngineSelection.Query query) {
        boolean isSettled = target.holdsAdapter(query.requirements().model(), adapter, query.nowMillis())
                || target.remainingLoadMillis(query.nowMillis()) > 0;
        return isSettled ? 0 : MAX_AFFINITY_COST_MILLIS * stableUniform(target.id(), adapter);
    }

    /** Returns a number from 0 up to 1 that is always the same for the same pair. */
    private static double stableUniform(String first, String second) {
        int mixed = (first + '/' + second).hashCode() * 0x9E3779B1;
        return (mixed >>> 8) / (double) (1 << 24);
    }
}
