package io.waxwingquay.bundle;

import io.waxwingquay.bundle.BundleDocument.Placed;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * What must hold between the elements of one bundle.
 */
final class BundleRules {

    private final List<Placed<Bundle.Service>> services;
    private final List<Placed<Bundle.Model>> models;
    private final List<Placed<Bundle.Adapter>> adapters;
    private final List<Placed<Bundle.Operation>> operations;
    private final Map<String, Bundle.Service> servicesByName;
    private final Map<String, Bundle.Model> modelsByName;

    BundleRules(
            List<Placed<Bundle.Service>> services,
            List<Placed<Bundle.Model>> models,
            List<Placed<Bundle.Adapter>> adapters,
            List<Placed<Bundle.Operation>> operations) {
        this.services = services;
        this.models = models;
        this.adapters = adapters;
        this.operations = operations;
        this.servicesByName = byName(services, Bundle.Service::name);
        this.modelsByName = byName(models, Bundle.Model::name);
    }

    void check() {
        refuseDuplicates(services, Bundle.Service::name);
        refuseDuplicates(models, Bundle.Model::name);
        refuseDuplicates(adapters, adapter -> adapter.model() + "/" + adapter.name());
        refuseDuplicates(operations, operation -> operation.service() + "/" + operation.name());
        models.forEach(this::checkModel);
        adapters.forEach(this::checkAdapter);
        operations.forEach(this::checkOperation);
        services.forEach(this::checkRoom);
    }

    private void checkModel(Placed<Bundle.Model> placed) {
        Bundle.Model model = placed.value();
        Bundle.Service service = servicesByName.get(model.service());
        if (service == null) {
            placed.table().report("service", unknown("service", model.service(), servicesByName));
        } else if (service.kind() != Bundle.Kind.MODEL) {
            placed.table().report("service", "'" + service.name() + "' is a plain service; name a model service");
        } else if (model.sizeBytes() > service.memoryBytes()) {
            placed.table()
                    .report(
                            "size_bytes",
                            "is " + model.sizeBytes() + " bytes, above the " + service.memoryBytes()
                                    + " bytes of a target of '" + service.name()
                                    + "'; use a smaller version or larger targets");
        }
    }

    private void checkAdapter(Placed<Bundle.Adapter> placed) {
        String model = placed.value().model();
        if (!modelsByName.containsKey(model)) {
            placed.table().report("model", unknown("model", model, modelsByName));
        }
    }

    private void checkOperation(Placed<Bundle.Operation> placed) {
        String name = placed.value().service();
        Bundle.Service service = servicesByName.get(name);
        if (service == null) {
            placed.table().report("service", unknown("service", name, servicesByName));
        } else if (service.kind() != Bundle.Kind.PLAIN) {
            placed.table().report("service", "'" + name + "' is a model service; name a plain service");
        }
    }

    private void checkRoom(Placed<Bundle.Service> placed) {
        Bundle.Service service = placed.value();
        long neededBytes = models.stream()
                .map(Placed::value)
                .filter(model -> model.service().equals(service.name()))
                .mapToLong(Bundle.Model::sizeBytes)
                .sum();
        long roomBytes = service.memoryBytes() * service.replicas();
        if (service.kind() == Bundle.Kind.MODEL && neededBytes > roomBytes) {
            placed.table()
                    .report(
                            "replicas",
                            "give " + roomBytes + " bytes in all, but the service's models take " + neededBytes
                                    + "; add replicas or remove models");
        }
    }

    private static <T> void refuseDuplicates(List<Placed<T>> placed, Function<T, String> name) {
        Set<String> seen = new HashSet<>();
        for (Placed<T> each : placed) {
            String found = name.apply(each.value());
            if (!seen.add(found)) {
                each.table().report("name", "'" + found + "' stands twice; rename or remove one");
            }
        }
    }

    private static <T> Map<String, T> byName(List<Placed<T>> placed, Function<T, String> name) {
        return placed.stream()
                .map(Placed::value)
                .collect(Collectors.toMap(name, value -> value, (left, right) -> left));
    }

    private static String unknown(String what, String name, Map<String, ?> known) {
        return "names no " + what + " of this bundle: '" + name + "'; it has "
                + known.keySet().stream().sorted().collect(Collectors.joining(", "));
    }
}
