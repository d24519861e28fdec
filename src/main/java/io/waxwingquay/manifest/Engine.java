package io.waxwingquay.manifest;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Specification of a model engine: the capacity of each replica of a service and the models that it can serve. Values
 * derived from the models are computed once in the constructor, because placement and replica selection read them
 * thousands of times a second.
 */
public final class Engine {

    private final int slots;
    private final long kvTokens;
    private final double weightsMegabytes;
    private final int adapterSlots;
    private final double storeLoadsPerSecond;
    private final List<Model> models;
    private final Map<String, Model> modelsByName;
    private final double modelMemoryMegabytes;
    private final long digest;

    /**
     * Creates an engine specification.
     *
     * @param slots number of requests that a replica runs at once.
     * @param kvTokens capacity of the key-value cache, in tokens, shared by running requests and cached prompts.
     * @param weightsMegabytes accelerator memory for model weights and adapters together.
     * @param adapterSlots number of adapters that a replica holds at once, across all its models.
     * @param storeLoadsPerSecond loads from the weight store that may start each second across all replicas.
     * @param models the models offered.
     */
    public Engine(
            int slots,
            long kvTokens,
            double weightsMegabytes,
            int adapterSlots,
            double storeLoadsPerSecond,
            List<Model> models) {
        this.slots = slots;
        this.kvTokens = kvTokens;
        this.weightsMegabytes = weightsMegabytes;
        this.adapterSlots = adapterSlots;
        this.storeLoadsPerSecond = storeLoadsPerSecond;
        this.models = List.copyOf(models);
        this.modelsByName = this.models.stream()
                .collect(Collectors.toUnmodifiableMap(Model::name, Function.identity(), (first, second) -> first));
        double adapter =
                this.models.stream().mapToDouble(Model::adapterMegabytes).max().orElse(0.0);
        this.modelMemoryMegabytes = weightsMegabytes - adapter * adapterSlots;
        this.digest = toString().hashCode() | 1L << Integer.SIZE + 8;
    }

    /**
     * Returns the number of requests that a replica runs at once.
     *
     * @return the number of slots.
     */
    public int slots() {
        return slots;
    }

    /**
     * Returns the capacity of the key-value cache, shared by running requests and cached prompts.
     *
     * @return the capacity in tokens.
     */
    public long kvTokens() {
        return kvTokens;
    }

    /**
     * Returns the accelerator memory for model weights and adapters together.
     *
     * @return the memory in megabytes.
     */
    public double weightsMegabytes() {
        return weightsMegabytes;
    }

    /**
     * Returns the number of adapters that a replica holds at once, across all its models.
     *
     * @return the number of adapter slots.
     */
    public int adapterSlots() {
        return adapterSlots;
    }

    /**
     * Returns how many loads from the weight store may start each second across all replicas.
     *
     * @return the rate in loads a second.
     */
    public double storeLoadsPerSecond() {
        return storeLoadsPerSecond;
    }

    /**
     * Returns the models offered.
     *
     * @return the models.
     */
    public List<Model> models() {
        return models;
    }

    /**
     * Returns a digest that distinguishes one engine configuration from another.
     *
     * @return the digest, never 0.
     */
    public long digest() {
        return digest;
    }

    /**
     * Returns the memory left for models when all adapter slots are occupied.
     *
     * @return the memory in megabytes.
     */
    public double modelMemoryMegabytes() {
        return modelMemoryMegabytes;
    }

    /**
     * Returns the accelerator memory that a model occupies.
     *
     * @param name the model's name.
     * @return the size in megabytes; the whole memory if the model is not offered, so that nothing is placed beside it.
     */
    public double modelWeightsMegabytes(String name) {
        return model(name).map(Model::weightsMegabytes).orElse(weightsMegabytes);
    }

    /**
     * Finds a model by name.
     *
     * @param name the model's name.
     * @return the model, empty if this engine does not offer it.
     */
    public Optional<Model> model(String name) {
        return Optional.ofNullable(modelsByName.get(name));
    }

    /** {@inheritDoc} */
    @Override
    public boolean equals(Object other) {
        return other instanceof Engine engine
                && slots == engine.slots
                && kvTokens == engine.kvTokens
                && weightsMegabytes == engine.weightsMegabytes
                && adapterSlots == engine.adapterSlots
                && storeLoadsPerSecond == engine.storeLoadsPerSecond
                && models.equals(engine.models);
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return Objects.hash(slots, kvTokens, weightsMegabytes, adapterSlots, storeLoadsPerSecond, models);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return "Engine[slots=" + slots + ", kvTokens=" + kvTokens + ", weightsMegabytes=" + weightsMegabytes
                + ", adapterSlots=" + adapterSlots + ", storeLoadsPerSecond=" + storeLoadsPerSecond + ", models="
                + models + "]";
    }

    /**
     * A model offered by an engine.
     *
     * @param name the model's name.
     * @param weightsMegabytes accelerator memory that its weights occupy.
     * @param storeLoadMillis duration of a load from the weight store.
     * @param diskLoadMillis duration of a load from the replica's own disk.
     * @param memoryLoadMillis duration of a load from the host's memory.
     * @param adapterMegabytes accelerator memory that one of its adapters occupies.
     */
    public record Model(
            String name,
            double weightsMegabytes,
            long storeLoadMillis,
            long diskLoadMillis,
            long memoryLoadMillis,
            double adapterMegabytes) {}
}
