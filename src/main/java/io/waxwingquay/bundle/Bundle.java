package io.waxwingquay.bundle;

import java.util.List;
import java.util.Optional;

/**
 * The desired configuration of the system, as one immutable document. Its signature and acceptance are kept
 * separately.
 *
 * @param version the bundle's version; a higher version replaces a lower one.
 * @param keys the operator keys that may sign the next bundle.
 * @param services the services and their targets' properties.
 * @param models the model versions that callers can use.
 * @param adapters the adapter versions that callers can use.
 * @param operations the operations of plain services.
 */
public record Bundle(
        long version,
        Keys keys,
        List<Service> services,
        List<Model> models,
        List<Adapter> adapters,
        List<Operation> operations) {

    /**
     * Finds a service by its name.
     *
     * @param name the service's name.
     * @return the service, or empty if this bundle has no service of that name.
     */
    public Optional<Service> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }

    /**
     * Finds a model by its name.
     *
     * @param name the model's name.
     * @return the model, or empty if this bundle has no model of that name.
     */
    public Optional<Model> model(String name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
    }

    /**
     * Finds an adapter of a model.
     *
     * @param model the model's name.
     * @param name the adapter's name.
     * @return the adapter, or empty if this bundle has no such adapter.
     */
    public Optional<Adapter> adapter(String model, String name) {
        return adapters.stream()
                .filter(adapter -> adapter.model().equals(model))
                .filter(adapter -> adapter.name().equals(name))
                .findFirst();
    }

    /**
     * Finds an operation of a service.
     *
     * @param service the service's name.
     * @param name the operation's name.
     * @return the operation, or empty if this bundle has no such operation.
     */
    public Optional<Operation> operation(String service, String name) {
        return operations.stream()
                .filter(operation -> operation.service().equals(service))
                .filter(operation -> operation.name().equals(name))
                .findFirst();
    }

    /** The kind of the targets of a service. */
    public enum Kind {
        /** The targets are model engines. */
        MODEL,
        /** The targets are plain services. */
        PLAIN
    }

    /**
     * The operator keys that a bundle names. A bundle that adds a key must be signed by a key that is already trusted.
     *
     * @param trusted keys that may sign the bundles after this one.
     * @param revoked identifiers of keys that may never sign again.
     */
    public record Keys(List<Key> trusted, List<String> revoked) {}

    /**
     * A public key of an operator.
     *
     * @param id the key's identifier.
     * @param publicKey the X.509 encoding of the Ed25519 public key, in base64.
     */
    public record Key(String id, String publicKey) {}

    /**
     * A service, which is a set of interchangeable targets.
     *
     * @param name the service's name.
     * @param kind the kind of its targets.
     * @param replicas the number of its targets; its side processes are numbered from 0 to replicas - 1.
     * @param memoryBytes the accelerator memory of each target; 0 for a plain service.
     * @param accelerators the number of accelerators of each target; 0 for a plain service.
     * @param ordersFenced whether its engines refuse an order with an outdated fencing number.
     * @param weightLoadsAtOnce how many loads from the weight store may run concurrently across all replicas.
     * @param weightLoadsPerSecond how many loads from the weight store may start per second across all replicas.
     * @param adapterLoadsAtOnce how many adapter loads may run concurrently across all replicas.
     * @param maxConcurrent how many requests one target runs concurrently; its side process queues the others.
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
     * A version of a model.
     *
     * @param name the name callers use.
     * @param service the name of the service whose targets run it.
     * @param version the version served.
     * @param sizeBytes the accelerator memory that it takes.
     * @param priority the model's priority; a higher value goes first.
     */
    public record Model(String name, String service, String version, long sizeBytes, int priority) {

        /**
         * Returns the name of this version in memory ledgers, engine orders and residency reports.
         *
         * @return the item's name.
         */
        public String item() {
            return "model:" + name + "@" + version;
        }
    }

    /**
     * A version of an adapter of a model.
     *
     * @param name the name callers use.
     * @param model the name of the model that it adapts.
     * @param version the version served.
     * @param sizeBytes the accelerator memory that it takes.
     */
    public record Adapter(String name, String model, String version, long sizeBytes) {

        /**
         * Returns the name of this version in memory ledgers, engine orders and residency reports.
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
     * @param nonIdempotent whether running it twice does harm, so that it must run at most once.
     */
    public record Operation(String service, String name, boolean nonIdempotent) {}
}
