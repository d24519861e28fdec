package io.waxwingquay.manifest;

import java.util.List;
import java.util.Optional;

/**
 * A model engine: what each replica of a service can hold and run.
 *
 * @param slots requests that a replica runs at once.
 * @param kvTokens tokens that its running requests and cached prompts share.
 * @param weightsMegabytes accelerator memory for weights and adapters together.
 * @param adapterSlots adapters that a replica holds at once, over all its models.
 * @param storeLoadsPerSecond loads from the weight store that may begin each second over all replicas.
 * @param models the models offered.
 */
public record Engine(
        int slots,
        long kvTokens,
        double weightsMegabytes,
        int adapterSlots,
        double storeLoadsPerSecond,
        List<Model> models) {

    /**
     * A number that tells one configuration of an engine from another.
     *
     * @return the number, never 0.
     */
    public long digest() {
        return toString().hashCode() | 1L << Integer.SIZE + 8;
    }

    /**
     * Memory for models, when all places for adapters are taken.
     *
     * @return megabytes.
     */
    public double modelMegabytes() {
        double adapter =
                models.stream().mapToDouble(Model::adapterMegabytes).max().orElse(0.0);
        return weightsMegabytes - adapter * adapterSlots;
    }

    /**
     * What a model takes.
     *
     * @param name its name.
     * @return megabytes; all of the memory if the model is not offered, so that nothing is put beside it.
     */
    public double weightsOf(String name) {
        return model(name).map(Model::weightsMegabytes).orElse(weightsMegabytes);
    }

    /**
     * Finds a model.
     *
     * @param name its name.
     * @return the model, empty if this engine does not offer it.
     */
    public Optional<Model> model(String name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
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
