package io.waxwingquay.manifest;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * A model engine: what each replica of a service can hold and run. What follows from its models is worked out once, as
 * plans and choices ask for it thousands of times a second.
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
     * An engine.
     *
     * @param slots requests that a replica runs at once.
     * @param kvTokens tokens that its running requests and cached prompts share.
     * @param weightsMegabytes accelerator memory for weights and adapters together.
     * @param adapterSlots adapters that a replica holds at once, over all its models.
     * @param storeLoadsPerSecond loads from the weight store that may begin each second over all replicas.
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
     * Requests that a replica runs at once.
     *
     * @return their number.
     */
    public int slots() {
        return slots;
    }

    /**
     * Tokens that its running requests and cached prompts share.
     *
     * @return their number.
     */
    public long kvTokens() {
        return kvTokens;
    }

    /**
     * Accelerator memory for weights and adapters together.
     *
     * @return megabytes.
     */
    public double weightsMegabytes() {
        return weightsMegabytes;
    }

    /**
     * Adapters that a replica holds at once, over all its models.
     *
     * @return their number.
     */
    public int adapterSlots() {
        return adapterSlots;
    }

    /**
     * Loads from the weight store that may begin each second over all replicas.
     *
     * @return their number.
     */
    public double storeLoadsPerSecond() {
        return storeLoadsPerSecond;
    }

    /**
     * The models offered.
     *
     * @return the models.
     */
    public List<Model> models() {
        return models;
    }

    /**
     * A number that tells one configuration of an engine from another.
     *
     * @return the number, never 0.
     */
    public long digest() {
        return digest;
    }

    /**
     * Memory for models, when all places for adapters are taken.
     *
     * @return megabytes.
     */
    public double modelMemoryMegabytes() {
        return modelMemoryMegabytes;
    }

    /**
     * What a model takes.
     *
     * @param name its name.
     * @return megabytes; all of the memory if the model is not offered, so that nothing is put beside it.
     */
    public double modelWeightsMegabytes(String name) {
        return model(name).map(Model::weightsMegabytes).orElse(weightsMegabytes);
    }

    /**
     * Finds a model.
     *
     * @param name its name.
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
     * A model.
     *
     * @param name its name.
     * @param weightsMegabytes accelerator memory that it takes.
     * @param storeLoadMillis how long a load from the weight store takes.
     * @param diskLoadMillis how long a load from the replica's own disk takes.
     * @param memoryLoadMillis how long a load from the host's memory takes.
     * @param adapterMegabytes accelerator memory that one of its adapters takes.
     */
    public record Model(
            String name,
            double weightsMegabytes,
            long storeLoadMillis,
            long diskLoadMillis,
            long memoryLoadMillis,
            double adapterMegabytes) {}
}
