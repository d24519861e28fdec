package io.waxwingquay.bundle;

import java.util.List;
import java.util.Optional;

/**
 * What operators want served, as one immutable document. Acceptance and signature are kept apart from it.
 *
 * @param version the bundle's version; a higher one replaces a lower one.
 * @param keys the operator keys that may sign the next bundle.
 * @param services the services and their targets' properties.
 * @param models the model versions offered.
 * @param adapters the adapter versions offered.
 * @param operations the plain services' operations.
 */
public record Bundle(
        long version,
        Keys keys,
        List<Service> services,
        List<Model> models,
        List<Adapter> adapters,
        List<Operation> operations) {

    /**
     * Finds a service.
     *
     * @param name the service's name.
     * @return the service, or empty if this bundle names none such.
     */
    public Optional<Service> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }

    /**
     * Finds a model.
     *
     * @param name the model's name.
     * @return the model, or empty if this bundle names none such.
     */
    public Optional<Model> model(String name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
    }

    /**
     * Finds an adapter of a model.
     *
     * @param model the model's name.
     * @param name the adapter's name.
     * @return the adapter, or empty if this bundle names none such.
     */
    public Optional<Adapter> adapter(String model, String name) {
        return adapters.stream()
                .filter(adapter -> adapter.model().equals(model))
                .filter(adapter -> adapter.name().equals(name))
                .findFirst();
    }

    /**
     * Finds an operation.
     *
     * @param service the service's name.
     * @param name the operation's name.
     * @return the operation, or empty if this bundle names none such.
     */
    public Optional<Operation> operation(String service, String name) {
        return operations.stream()
                .filter(operation -> operation.service().equals(service))
                .filter(operation -> operation.name().equals(name))
                .findFirst();
    }

    /** What stands behind a service. */
    public enum Kind {
        /** Replicas are model engines. */
        MODEL,
        /** Replicas are plain services. */
        PLAIN
    }

    /**
     * Operator keys. The bundle that adds a key must be signed by one already trusted.
     *
     * @param trusted keys that may sign from this version on.
     * @param revoked identifiers of keys that may never sign again.
     */
    public record Keys(List<Key> trusted, List<String> revoked) {}

    /**
     * One operator key.
     *
     * @param id the key's identifier.
     * @param publicKey the X.509 encoding of the Ed25519 public key, in base64.
     */
    public record Key(String id, String publicKey) {}

    /**
     * A service: a set of interchangeable targets.
     *
     * @param name the service's name.
     * @param kind what its targets are.
     * @param replicas how many targets it has; a side process is numbered from 0 to replicas - 1.
     * @param memoryBytes accelerator memory of each target; 0 for a plain service.
     * @param accelerators accelerators of each target; 0 for a plain service.
     * @param ordersFenced whether its engines refuse an order with an old fencing number.
     * @param weightLoadsAtOnce how many loads from the weight store may run at once over all replicas.
     * @param weightLoadsPerSecond how many loads from the weight store may start a second over all replicas.
     * @param adapterLoadsAtOnce how many adapter loads may be in flight over all replicas.
     * @param maxConcurrent requests one target runs at once before its side process queues them.
     */
    public record Service(
            String name,
            Kind kind,
            int replicas,
            long memoryBytes,
            int accelerators,
            boolean ordersFenced,
            int weightLoadsAtOnce,
            double weightLoadsPerSecond,
            int adapterLoadsAtOnce,
            int maxConcurrent) {}

    /**
     * A model version.
     *
     * @param name the name callers use.
     * @param service the service whose targets run it.
     * @param version the version served.
     * @param sizeBytes accelerator memory it takes.
     * @param priority a higher one goes first.
     */
    public record Model(String name, String service, String version, long sizeBytes, int priority) {

        /**
         * The name of this version in ledgers, orders and residency.
         *
         * @return the item's name.
         */
        public String item() {
            return "model:" + name + "@" + version;
        }
    }

    /**
     * An adapter version of a model.
     *
     * @param name the name callers use.
     * @param model the model's name.
     * @param version the version served.
     * @param sizeBytes accelerator memory it takes.
     */
    public record Adapter(String name, String model, String version, long sizeBytes) {

        /**
         * The name of this version in ledgers, orders and residency.
         *
         * @return the item's name.
         */
        public String item() {
            return "adapter:" + model + "/" + name + "@" + version;
        }
    }

    /**
     * An operation of a plain service.
     *
     * @param service the service's name.
     * @param name the operation's name.
     * @param nonIdempotent whether a second run does harm, so that it runs at most once.
     */
    public record Operation(String service, String name, boolean nonIdempotent) {}
}
