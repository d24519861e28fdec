package io.waxwingquay.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** The models and adapters of one replica that requests from this entry use. */
final class TargetUsage {

    private final Map<String, Integer> adapters = new HashMap<>();
    private final Map<String, Integer> models = new HashMap<>();
    private Usage reported = new Usage(Set.of(), Set.of());

    void requestSent(Optional<String> model, Optional<String> adapter) {
        model.ifPresent(name -> models.merge(name, 1, Integer::sum));
        adapter.ifPresent(name -> adapters.merge(adapterKey(model, name), 1, Integer::sum));
    }

    void requestEnded(Optional<String> model, Optional<String> adapter) {
        model.ifPresent(name -> decrement(models, name));
        adapter.ifPresent(name -> decrement(adapters, adapterKey(model, name)));
    }

    /** Returns the requests by adapter, as {@code model/adapter}. */
    Map<String, Integer> adapters() {
        return adapters;
    }

    Set<String> models() {
        return models.keySet();
    }

    /**
     * Returns whether the usage that the side process must know has changed since the last call.
     *
     * @param isOffered whether the engine still offers a model.
     */
    boolean pollChanged(Predicate<String> isOffered) {
        Usage current = new Usage(
                Set.copyOf(adapters.keySet()),
                models.keySet().stream().filter(isOffered.negate()).collect(Collectors.toUnmodifiableSet()));
        boolean changed = !current.equals(reported);
        reported = current;
        return changed;
    }

    private static String adapterKey(Optional<String> model, String adapter) {
        return model.orElse("") + "/" + adapter;
    }

    private static void decrement(Map<String, Integer> counts, String key) {
        counts.computeIfPresent(key, (name, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * The usage by requests from here.
     *
     * @param adapters the adapters, as {@code model/adapter}.
     * @param departingModels the models in use that the engine no longer offers.
     */
    private record Usage(Set<String> adapters, Set<String> departingModels) {}
}
