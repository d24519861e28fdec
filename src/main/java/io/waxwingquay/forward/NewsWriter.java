package io.waxwingquay.forward;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.transport.generated.EntryNews;
import io.waxwingquay.transport.generated.ModelDemand;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes what this entry tells the process beside each engine: what is asked for, what is in use there, and which other
 * engines of the same service there are. Engines of another service are not named, as they share neither models nor the
 * ceiling of loads.
 */
final class NewsWriter {

    private final TargetTable targets;
    private final DemandMeter demand;
    private long number;

    NewsWriter(TargetTable targets, DemandMeter demand) {
        this.targets = targets;
        this.demand = demand;
    }

    /** The news for each engine, by its address. */
    Map<HostPort, EntryNews> write(String node, Manifest manifest, long nowMillis) {
        number++;
        Map<String, ModelDemand> asked = demand.snapshot(nowMillis);
        Map<HostPort, EntryNews> all = new HashMap<>();
        manifest.services().values().forEach(service -> service.engine().ifPresent(engine -> {
            List<Target> engines = targets.of(service.name());
            List<String> addresses =
                    engines.stream().map(target -> target.address().toString()).toList();
            engines.forEach(target -> all.put(
                    target.address(),
                    new EntryNews()
                            .setNode(node)
                            .setNumber(number)
                            .setDemand(asked)
                            .setEngineAddresses(addresses)
                            .setEngineDigest(engine.digest())
                            .setAdaptersInUse(List.copyOf(target.adaptersInUse().keySet()))
                            .setModelsInUse(List.copyOf(target.modelsInUse()))));
        }));
        return all;
    }
}
