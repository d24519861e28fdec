package io.waxwingquay.bundle;

import io.waxwingquay.bundle.BundleDocument.Located;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Validates the references between the elements of a bundle, the uniqueness of names and the memory that models need.
 */
final class BundleRules {

    private final List<Located<Bundle.Service>> services;
    private final List<Located<Bundle.Model>> models;
    private final List<Located<Bundle.Adapter>> adapters;
    private final List<Located<Bundle.Operation>> operations;
    private final Map<String, Bundle.Service> servicesByName;
    private final Map<String, Bundle.Model> modelsByName;

    BundleRules(
            List<Located<Bundle.Service>> services,
            List<Located<Bundle.Model>> models,
            List<Located<Bundle.Adapter>> adapters,
            List<Located<Bundle.Operation>> operations) {
        this.services = services;
        this.models = models;
        this.adapters = adapters;
        this.operations = operations;
        this.servicesByName = byName(services, Bundle.Service::name);
        this.modelsByName = byName(models, Bundle.Model::name);
    }

    void check() {
        reportDuplicates(services, Bundle.Service::name);
        reportDuplicates(models, Bundle.Model::name);
        reportDuplicates(adapters, adapter -> adapter.model() + "/" + adapter.name());
        reportDuplicates(operations, operation -> operation.service() + "/" + operation.name());
        models.forEach(this::checkModel);
        adapters.forEach(this::checkAdapter);
        operations.forEach(this::checkOperation);
        services.forEach(this::checkCapacity);
    }

    private void checkModel(Located<Bundle.Model> located) {
        Bundle.Model model = located.value();
        Bundle.Service service = servicesByName.get(model.service());
        if (service == null) {
            located.table().report("service", unknown("service", model.service(), servicesByName));
        } else if (service.kind() != Bundle.Kind.MODEL) {
            located.table().report("service", "'" + service.name() + "' is a plain service; name a model service");
        } else if (model.sizeBytes() > service.memoryBytes()) {
            located.table()
                    .report(
                            "size_bytes",
                            "is " + model.sizeBytes() + " bytes, above the " + service.memoryBytes()
                                    + " bytes of a target of '" + service.name()
                                    + "'; use a smaller version or larger targets");
        }
    }

    private void checkAdapter(Located<Bundle.Adapter> located) {
        String model = located.value().model();
        if (!modelsByName.containsKey(model)) {
            located.table().report("model", unknown("model", model, modelsByName));
        }
    }

    private void checkOperation(Located<Bundle.Operation> located) {
        String name = located.value().service();
        Bundle.Service service = servicesByName.get(name);
        if (service == null) {
            located.table().report("service", unknown("service", name, servicesByName));
        } else if (service.kind() != Bundle.Kind.PLAIN) {
            located.table().report("service", "'" + name + "' is a model service; name a plain service");
        }
    }

    private void checkCapacity(Located<Bundle.Service> located) {
        Bundle.Service service = located.value();
        long neededBytes = models.stream()
                .map(Located::value)
                .filter(model -> model.service().equals(service.name()))
                .mapToLong(Bundle.Model::sizeBytes)
                .sum();
        long capacityBytes = service.memoryBytes() * service.replicas();
        if (service.kind() == Bundle.Kind.MODEL && neededBytes > capacityBytes) {
            located.table()
                    .report(
                            "replicas",
                            "give " + capacityBytes + " bytes in all, but the service's models take " + neededBytes
                                    + "; add replicas or remove models");
        }
    }

    private static <T> void reportDuplicates(List<Located<T>> located, Function<T, String> name) {
        Set<String> seen = new HashSet<>();
        for (Located<T> each : located) {
            String elementName = name.apply(each.value());
            if (!seen.add(elementName)) {
                each.table().report("name", "'" + elementName + "' stands twice; rename or remove one");
            }
        }
    }

    private static <T> Map<String, T> byName(List<Located<T>> located, Function<T, String> name) {
        return located.stream()
                .map(Located::value)
                .collect(Collectors.toMap(name, value -> value, (left, right) -> left));
    }

    private static String unknown(String what, String name, Map<String, ?> known) {
        return "names no " + what + " of this bundle: '" + name + "'; it has "
                + known.keySet().stream().sorted().collect(Collectors.joining(", "));
    }
}
