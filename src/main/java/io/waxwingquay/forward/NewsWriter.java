package io.waxwingquay.forward;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.peer.UpdateInterval;
import io.waxwingquay.peer.UpdateSequence;
import io.waxwingquay.transport.generated.EntryNews;
import io.waxwingquay.transport.generated.ModelDemand;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes what this entry tells the process beside each engine: what is asked for, what is in use there, and which other
 * engines of the same service there are. Engines of another service are not named, as they share neither models nor the
 * ceiling of loads. All of it is told in rounds that take the longer the more engines there are; what is in use at one
 * engine is told to it as soon as it changes.
 */
final class NewsWriter {

    /** The part of a round after which one may begin early: what is missed is asked for by all entries at once. */
    private static final int SOONER = 4;

    private final TargetTable targets;
    private final DemandMeter demand;
    private final UpdateSequence number;
    private long toldMillis = Long.MIN_VALUE / 2;
    private boolean isHastened;

    /**
     * A writer that has told nothing.
     *
     * @param targets whom to tell.
     * @param demand what is asked for.
     * @param nowMillis the steady time.
     */
    NewsWriter(TargetTable targets, DemandMeter demand, long nowMillis) {
        this.targets = targets;
        this.demand = demand;
        this.number = new UpdateSequence(nowMillis);
    }

    /** Something that can't wait for the next round has changed. */
    void hasten() {
        isHastened = true;
    }

    /** What is due now, by the engine's address. */
    Map<HostPort, EntryNews> write(String node, Manifest manifest, long nowMillis) {
        int engines = manifest.services().values().stream()
                .filter(service -> service.engine().isPresent())
                .mapToInt(service -> targets.sizeOf(service.name()))
                .sum();
        long periodMillis = UpdateInterval.periodMillis(engines);
        long sinceMillis = nowMillis - toldMillis;
        if (sinceMillis < periodMillis && !(isHastened && sinceMillis >= periodMillis / SOONER)) {
            return uses(node, manifest, nowMillis);
        }
        toldMillis = nowMillis;
        isHastened = false;
        return whole(node, manifest, nowMillis);
    }

    private Map<HostPort, EntryNews> whole(String node, Manifest manifest, long nowMillis) {
        Map<String, ModelDemand> asked = demand.snapshot(nowMillis);
        Map<HostPort, EntryNews> all = new HashMap<>();
        manifest.services().values().forEach(service -> service.engine().ifPresent(engine -> {
            List<Target> engines = targets.of(service.name());
            List<String> addresses =
                    engines.stream().map(target -> target.address().toString()).toList();
            engines.forEach(target -> {
                target.isUseChanged(nowMillis);
                EntryNews news = use(node, engine, target);
                all.put(target.address(), news.setDemand(asked).setEngineAddresses(addresses));
            });
        }));
        return all;
    }

    private Map<HostPort, EntryNews> uses(String node, Manifest manifest, long nowMillis) {
        Map<HostPort, EntryNews> changed = new HashMap<>();
        manifest.services().values().forEach(service -> service.engine()
                .ifPresent(engine -> targets.of(service.name()).stream()
                        .filter(target -> target.isUseChanged(nowMillis))
                        .forEach(target -> changed.put(target.address(), use(node, engine, target)))));
        return changed;
    }

    private EntryNews use(String node, Engine engine, Target target) {
        return new EntryNews()
                .setNode(node)
                .setNumber(number.next())
                .setEngineDigest(engine.digest())
                .setAdaptersInUse(List.copyOf(target.adaptersInUse().keySet()))
                .setModelsInUse(List.copyOf(target.modelsInUse()));
    }
}
