package io.waxwingquay.bench;

import java.util.List;
import java.util.random.RandomGenerator;

/** Generates the requests of one customer. The same seed gives the same requests under every policy. */
interface Workload {

    /** The factor by which a fault raises the demand for a model over time. */
    interface Surge {

        /** A surge that leaves all demand as it is. */
        Surge NONE = (model, atSeconds) -> 1.0;

        /**
         * Returns the factor at a time.
         *
         * @param model the model's name.
         * @param atSeconds time from the start of the load.
         * @return the factor; 1 if there is no surge.
         */
        double factor(String model, double atSeconds);
    }

    /** Returns the name on the command line. */
    String name();

    /** Returns the file name of the bundle. */
    String bundleFile();

    /** Returns the model whose demand a surge multiplies. */
    String surgingModel();

    /** Generates the requests in order of time. */
    List<Arrival> arrivals(RandomGenerator random, double seconds, Surge surge);

    /** Returns the workload of a name. */
    static Workload named(String name) {
        return switch (name) {
            case "tamworth" -> new Tamworth();
            case "claywheel" -> new Claywheel();
            default -> throw new IllegalArgumentException(
                    "workload '" + name + "' is unknown; write tamworth or claywheel");
        };
    }
}
