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
 * Writes the status updates of this entry to the side processes of engines: the demand, what is in use at an engine,
 * and the other engines of its service. Engines of other services are not named, as they share neither models nor the
 * limit of loads. Full updates are sent in rounds whose period grows with the number of engines; the usage of an engine
 * is sent to it as soon as it changes.
 */
final class EntryUpdateWriter {

    /**
     * Divisor of the period of a round that gives the time after which the next may begin early: all entries request a
     * missing model at once.
     */
    private static final int EARLY_ROUND_DIVISOR = 4;

    private final TargetTable targets;
    private final DemandMeter demand;
    private final UpdateSequence numbers;
    private long lastRoundMillis = Long.MIN_VALUE / 2;
    private boolean hastened;

    /**
     * Creates a writer whose first round is due.
     *
     * @param targets the replicas to update.
     * @param demand the demand to report.
     * @param nowMillis the monotonic time.
     */
    EntryUpdateWriter(TargetTable targets, DemandMeter demand, long nowMillis) {
        this.targets = targets;
        this.demand = demand;
        this.numbers = new UpdateSequence(nowMillis);
    }

    /** Requests that the next round begin early. */
    void hasten() {
        hastened = true;
    }

    /** Returns the updates that are due now, by address of the engine. */
    Map<HostPort, EntryNews> write(String node, Manifest manifest, long nowMillis) {
        int engines = manifest.services().values().stream()
                .filter(service -> service.engine().isPresent())
                .mapToInt(service -> targets.replicaCount(service.name()))
                .sum();
        long periodMillis = UpdateInterval.periodMillis(engines);
        long sinceMillis = nowMillis - lastRoundMillis;
        if (sinceMillis < periodMillis && !(hastened && sinceMillis >= periodMillis / EARLY_ROUND_DIVISOR)) {
            return usageUpdates(node, manifest, nowMillis);
        }
        lastRoundMillis = nowMillis;
        hastened = false;
        return fullUpdates(node, manifest, nowMillis);
    }

    private Map<HostPort, EntryNews> fullUpdates(String node, Manifest manifest, long nowMillis) {
        Map<String, ModelDemand> demandByModel = demand.snapshot(nowMillis);
        Map<HostPort, EntryNews> all = new HashMap<>();
        manifest.services().values().forEach(service -> service.engine().ifPresent(engine -> {
            List<Target> engines = targets.ofService(service.name());
            List<String> addresses =
                    engines.stream().map(target -> target.address().toString()).toList();
            engines.forEach(target -> {
                target.pollUsageChanged(nowMillis);
                EntryNews update = usageUpdate(node, engine, target);
                all.put(target.address(), update.setDemand(demandByModel).setEngineAddresses(addresses));
            });
        }));
        return all;
    }

    private Map<HostPort, EntryNews> usageUpdates(String node, Manifest manifest, long nowMillis) {
        Map<HostPort, EntryNews> changed = new HashMap<>();
        manifest.services().values().forEach(service -> service.engine()
                .ifPresent(engine -> targets.ofService(service.name()).stream()
                        .filter(target -> target.pollUsageChanged(nowMillis))
                        .forEach(target -> changed.put(target.address(), usageUpdate(node, engine, target)))));
        return changed;
    }

    private EntryNews usageUpdate(String node, Engine engine, Target target) {
        return new EntryNews()
                .setNode(node)
                .setNumber(numbers.next())
                .setEngineDigest(engine.digest())
                .setAdaptersInUse(List.copyOf(target.adaptersInUse().keySet()))
                .setModelsInUse(List.copyOf(target.modelsInUse()));
    }
}
