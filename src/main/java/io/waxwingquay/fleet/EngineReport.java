package io.waxwingquay.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The state that an engine reports when it is polled.
 *
 * @param bornMillis start time of this incarnation; 0 if the engine does not report it.
 * @param ordersTaken number of orders that the engine has accepted in this incarnation.
 * @param executingOrder whether the engine is executing an order.
 * @param running number of requests that it runs.
 * @param waiting number of requests queued in it.
 * @param kvUsedTokens key-value cache occupied by running requests, which can't be evicted.
 * @param kvTotalTokens key-value cache for running requests and cached prompts together.
 * @param models models that it holds.
 * @param loadingAdapters adapters that are loading, as {@code model/adapter}.
 * @param inHostMemory models whose weights are in the host's memory.
 * @param onDisk models whose weights are on the host's disk.
 * @param draining whether it is about to leave.
 * @param runs the requests that it runs; empty if the engine does not list them.
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
        boolean draining,
        List<RunningRequest> runs) {

    /**
     * Finds a model by name.
     *
     * @param name the model's name.
     * @return the model, empty if the engine does not hold it.
     */
    public Optional<ReplicaRecord.ResidentModel> model(String name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
    }

    /**
     * Returns the names of the models that the engine holds.
     *
     * @return the names.
     */
    public List<String> modelNames() {
        return models.stream().map(ReplicaRecord.ResidentModel::name).toList();
    }

    /**
     * Returns whether an adapter occupies a slot.
     *
     * @param model the model of the adapter.
     * @param adapter the name of the adapter.
     * @return whether it is held or loading.
     */
    public boolean hasAdapter(String model, String adapter) {
        return loadingAdapters.contains(model + '/' + adapter)
                || model(model)
                        .filter(held -> held.adapters().contains(adapter))
                        .isPresent();
    }

    /**
     * Returns the number of occupied adapter slots.
     *
     * @return the number of adapters held and loading.
     */
    public int usedAdapterSlots() {
        return models.stream().mapToInt(model -> model.adapters().size()).sum() + loadingAdapters.size();
    }
}
