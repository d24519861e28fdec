package io.waxwingquay.bench;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.Bundle.Kind;
import io.waxwingquay.standin.Faults;
import io.waxwingquay.standin.Faults.Settings;
import io.waxwingquay.standin.ModelEngineStandin;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/** A fault injected during a load, from {@link #BEGIN_SHARE} to {@link #END_SHARE} of its duration. */
enum Fault {
    /** No fault. */
    NONE,
    /** The first engine crashes; it restarts with empty memory at the end. */
    TARGET_DEATH {
        @Override
        void begin(LocalDeployment deployment, long durationMillis) {
            ModelEngineStandin engine =
                    deployment.targets().engines().values().iterator().next();
            engine.faults().apply(Settings.NONE.withCrash("", durationMillis));
            engine.crash();
        }
    },
    /** The sides, the engines and the entry of one data centre are lost; they restart with empty memory at the end. */
    DATA_CENTRE_LOSS {
        @Override
        void begin(LocalDeployment deployment, long durationMillis) {
            deployment.killEntry(LOST_DATA_CENTRE);
            lostReplicas(deployment).forEach(replica -> {
                deployment.killSide(replica.name());
                if (replica.service().kind() == Kind.MODEL) {
                    ModelEngineStandin engine = deployment.targets().engines().get(replica.name());
                    engine.faults().apply(Settings.NONE.withCrash("", durationMillis));
                    engine.crash();
                }
            });
        }

        @Override
        void end(LocalDeployment deployment) {
            lostReplicas(deployment).forEach(replica -> deployment.startSide(replica.service(), replica.number()));
            deployment.restartEntry(LOST_DATA_CENTRE);
        }
    },
    /** The table service, the object store and the VM list do not answer. */
    STORE_OUTAGE {
        @Override
        void begin(LocalDeployment deployment, long durationMillis) {
            deployment.platform().faults().inject(Faults.Kind.OUT, Faults.UNLIMITED);
        }

        @Override
        void end(LocalDeployment deployment) {
            deployment.platform().faults().clear();
        }
    },
    /** The demand for one model is ten times as high. */
    TENFOLD,
    /** Every load of weights takes seconds longer. */
    SLOW_WEIGHTS {
        @Override
        void begin(LocalDeployment deployment, long durationMillis) {
            deployment.targets().weightStores().values().forEach(store -> store.faults()
                    .apply(Settings.NONE.withSlowMillis(ADDED_LOAD_MILLIS)));
        }

        @Override
        void end(LocalDeployment deployment) {
            deployment.targets().weightStores().values().forEach(store -> store.faults()
                    .clear());
        }
    };

    /** When the fault begins, as a share of the load's duration. */
    static final double BEGIN_SHARE = 1.0 / 3;

    /** When the fault ends, as a share of the load's duration. */
    static final double END_SHARE = 0.55;

    private static final double SURGE_FACTOR = 10;
    /** The number of the lost data centre and of its entry. */
    static final int LOST_DATA_CENTRE = 1;

    private static final int DATA_CENTRES = 3;
    private static final long ADDED_LOAD_MILLIS = 3_000L;

    static Fault named(String name) {
        return Arrays.stream(values())
                .filter(fault -> fault.title().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("fault '" + name + "' is unknown; write none, "
                        + "target-death, data-centre-loss, store-outage, tenfold or slow-weights"));
    }

    String title() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    Workload.Surge surge(String model, double seconds) {
        if (this != TENFOLD) {
            return Workload.Surge.NONE;
        }
        return (requested, atSeconds) ->
                requested.equals(model) && atSeconds >= BEGIN_SHARE * seconds && atSeconds < END_SHARE * seconds
                        ? SURGE_FACTOR
                        : 1.0;
    }

    void begin(LocalDeployment deployment, long durationMillis) {}

    void end(LocalDeployment deployment) {}

    private static List<Replica> lostReplicas(LocalDeployment deployment) {
        return deployment.bundle().services().stream()
                .flatMap(service -> IntStream.range(0, service.replicas())
                        .filter(number -> number % DATA_CENTRES == LOST_DATA_CENTRE)
                        .mapToObj(
                                number -> new Replica(service, number, SettingsText.sideName(service.name(), number))))
                .toList();
    }

    private record Replica(Bundle.Service service, int number, String name) {}
}
