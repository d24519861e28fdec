package io.waxwingquay.residency;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Models that the previous incarnation of an engine held, read from the platform's replica list, which still contains
 * its row for a few seconds after a restart.
 *
 * <p>Failure: all machines lose power, and the engines restart empty with the weights on their disks. Symptom:
 * nothing is loaded until requests show which models are busy, and callers are rejected for a second or more. The
 * previous models are the best guess, those with the most copies first; the plan takes over as soon as there is demand.
 */
public final class PreviousModels {

    private static final PreviousModels NONE = new PreviousModels(List.of());

    private final List<String> models;

    private PreviousModels(List<String> models) {
        this.models = models;
    }

    /**
     * Returns an instance without models, for an engine whose previous incarnation is unknown.
     *
     * @return no models.
     */
    public static PreviousModels none() {
        return NONE;
    }

    /**
     * Creates an instance from the replica list.
     *
     * @param records all listed replicas, including previous incarnations.
     * @param engine the engine's address.
     * @return the models that the engine held, the model with the most listed copies first.
     */
    public static PreviousModels fromListing(Collection<ReplicaRecord> records, HostPort engine) {
        Map<String, Long> copies = records.stream()
                .flatMap(record -> record.models().stream())
                .collect(Collectors.groupingBy(ReplicaRecord.ResidentModel::name, Collectors.counting()));
        return new PreviousModels(records.stream()
                .filter(record -> record.address().equals(engine))
                .flatMap(record -> record.models().stream())
                .map(ReplicaRecord.ResidentModel::name)
                .distinct()
                .sorted(Comparator.comparing((Function<String, Long>) copies::get)
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .toList());
    }

    /**
     * Returns the models in the order in which they are to be loaded.
     *
     * @return their names.
     */
    public List<String> models() {
        return models;
    }
}
