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
 * What the engine at an address held in its earlier life, as the platform's list still tells for some seconds.
 *
 * <p>Failure: all machines lose power, and engines come back empty with the weights on their disks. Symptom: until
 * requests have shown again what is busy, nothing is loaded, and callers are refused for a second or more. What stood
 * before is the best guess, the models with most copies first; once there is demand the plan takes over.
 */
public final class PreviousModels {

    private static final PreviousModels NONE = new PreviousModels(List.of());

    private final List<String> models;

    private PreviousModels(List<String> models) {
        this.models = models;
    }

    /**
     * Nothing is known of an earlier life.
     *
     * @return no models.
     */
    public static PreviousModels none() {
        return NONE;
    }

    /**
     * Reads the list.
     *
     * @param records all replicas that are listed, of earlier lives too.
     * @param engine the engine's address.
     * @return what it held, the model with most copies in the list first.
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
     * The models.
     *
     * @return their names, those to be brought in first at the front.
     */
    public List<String> models() {
        return models;
    }
}
