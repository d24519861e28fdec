package io.waxwingquay.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * What an engine says of itself when it is asked.
 *
 * @param bornMillis when this life began; 0 if it does not say.
 * @param ordersTaken orders that it has taken in this life.
 * @param executingOrder whether it carries out an order now.
 * @param running requests that it runs.
 * @param waiting requests that wait in it.
 * @param kvUsedTokens memory of running requests, which can't yield.
 * @param kvTotalTokens memory for requests and cached prompts.
 * @param models what it holds.
 * @param loadingAdapters adapters under way to it, as {@code model/adapter}.
 * @param inHostMemory models whose weights lie in its host's memory.
 * @param onDisk models whose weights lie on its disk.
 * @param draining whether it is about to leave.
 */
public record EngineReport(
        long bornMillis,
        long ordersTaken,
        boolean executingOrder,
        int running,
        int waiting,
        long kvUsedTokens,
        long kvTotalTokens,
        List<ReplicaRecord.ResidentModel> models,
        Set<String> loadingAdapters,
        Set<String> inHostMemory,
        Set<String> onDisk,
        boolean draining) {

    /**
     * Finds a model.
     *
     * @param name its name.
     * @return the model, empty if the engine does not hold it.
     */
    public Optional<ReplicaRecord.ResidentModel> model(String name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
    }

    /**
     * The models that it holds.
     *
     * @return their names.
     */
    public List<String> modelNames() {
        return models.stream().map(ReplicaRecord.ResidentModel::name).toList();
    }

    /**
     * How many adapter places are taken.
     *
     * @return adapters held and under way.
     */
    public int usedAdapterSlots() {
        return models.stream().mapToInt(model -> model.adapters().size()).sum() + loadingAdapters.size();
    }
}
