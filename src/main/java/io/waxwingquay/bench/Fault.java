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

/** What goes wrong during a load, from {@link #BEGIN_SHARE} to {@link #END_SHARE} of its time. */
enum Fault {
    /** Nothing. */
    NONE,
    /** The first engine crashes, and comes back empty at the end. */
    TARGET_DEATH {
        @Override
        void begin(LocalDeployment deployment, long lastsMillis) {
            ModelEngineStandin engine =
                    deployment.targets().engines().values().iterator().next();
            engine.faults().set(Settings.NONE.withCrash("", lastsMillis));
            engine.crash();
        }
    },
    /** Sides, targets and the entry of one data centre are gone, and come back empty at the end. */
    DATA_CENTRE_LOSS {
        @Override
        void begin(LocalDeployment deployment, long lastsMillis) {
            deployment.killEntry(LOST_DATA_CENTRE);
            lostReplicas(deployment).forEach(replica -> {
                deployment.killSide(replica.name());
                if (replica.service().kind() == Kind.MODEL) {
                    ModelEngineStandin engine = deployment.targets().engines().get(replica.name());
                    engine.faults().set(Settings.NONE.withCrash("", lastsMillis));
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
    /** Table service, object store and VM list answer nothing. */
    STORE_OUTAGE {
        @Override
        void begin(LocalDeployment deployment, long lastsMillis) {
            deployment.platform().faults().next(Faults.Kind.OUT, Faults.FOREVER);
        }

        @Override
        void end(LocalDeployment deployment) {
            deployment.platform().faults().clear();
        }
    },
    /** Ten times the demand for one model. */
    TENFOLD,
    /** Every load takes seconds longer. */
    SLOW_WEIGHTS {
        @Override
        void begin(LocalDeployment deployment, long lastsMillis) {
            deployment.targets().weightStores().values().forEach(store -> store.faults()
                    .set(Settings.NONE.withSlowMillis(ADDED_LOAD_MILLIS)));
        }

        @Override
        void end(LocalDeployment deployment) {
            deployment.targets().weightStores().values().forEach(store -> store.faults()
                    .clear());
        }
    };

    /** When it begins, as a share of the load's time. */
    static final double BEGIN_SHARE = 1.0 / 3;

    /** When it ends, as a share of the load's time. */
    static final double END_SHARE = 0.55;

    private static final double SURGE_FACTOR = 10;
    /** The data centre that is lost, and the number of its entry. */
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

    void begin(LocalDeployment deployment, long lastsMillis) {}

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
