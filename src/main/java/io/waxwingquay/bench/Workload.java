package io.waxwingquay.bench;

import java.util.List;
import java.util.random.RandomGenerator;

/** The requests of one customer. The same seed gives the same requests, whatever the policy. */
interface Workload {

    /** A factor on the demand for one model while a fault lasts. */
    interface Surge {

        /** No surge. */
        Surge NONE = (model, atSeconds) -> 1.0;

        /**
         * The factor.
         *
         * @param model the model's name.
         * @param atSeconds time from the start of the load.
         * @return 1 if there is no surge.
         */
        double factor(String model, double atSeconds);
    }

    /** The name that the command line uses. */
    String name();

    /** The file name of its bundle. */
    String bundleFile();

    /** The model whose demand a surge multiplies. */
    String surgingModel();

    /** The requests by their time. */
    List<Arrival> arrivals(RandomGenerator random, double seconds, Surge surge);

    /** Finds a workload by its name. */
    static Workload named(String name) {
        return switch (name) {
            case "tamworth" -> new Tamworth();
            case "claywheel" -> new Claywheel();
            default -> throw new IllegalArgumentException(
                    "workload '" + name + "' is unknown; write tamworth or claywheel");
        };
    }
}
