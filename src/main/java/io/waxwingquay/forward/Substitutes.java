package io.waxwingquay.forward;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Finds engines whose streams no other engine could resume, as that takes the software version that started them. */
final class Substitutes {

    private Substitutes() {}

    /**
     * Returns the engines that are the only ones of their software version, if another version has several.
     *
     * @param engines the engines that could run a request.
     */
    static Set<Target> lackingAmong(List<Target> engines) {
        Optional<String> first = engines.stream().findFirst().flatMap(Target::statedSoftwareVersion);
        if (engines.stream().allMatch(engine -> engine.statedSoftwareVersion().equals(first))) {
            return Set.of();
        }
        Map<Optional<String>, Long> countByVersion = engines.stream()
                .map(Target::statedSoftwareVersion)
                .filter(Optional::isPresent)
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
        if (countByVersion.values().stream().noneMatch(count -> count > 1)) {
            return Set.of();
        }
        return engines.stream()
                .filter(engine -> countByVersion.getOrDefault(engine.statedSoftwareVersion(), 1L) == 1)
                .collect(Collectors.toSet());
    }
}
