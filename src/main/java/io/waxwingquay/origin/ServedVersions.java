package io.waxwingquay.origin;

import io.waxwingquay.fleet.ReplicaDirectory;
import io.waxwingquay.fleet.ReplicaRecord;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The software versions that each service has had for as long as a stream may last, by the list of replicas. While that
 * is one, it started each stream of the service.
 */
public final class ServedVersions implements ReplicaDirectory.Listener {

    private final LongSupplier clockMillis;
    private final Consumer<String> onMixed;
    private final Map<String, Map<String, Presence>> byService = new HashMap<>();

    /**
     * Creates an empty history.
     *
     * @param clockMillis the monotonic clock.
     * @param onMixed called with the name of a service that has got a further version.
     */
    public ServedVersions(LongSupplier clockMillis, Consumer<String> onMixed) {
        this.clockMillis = clockMillis;
        this.onMixed = onMixed;
    }

    /**
     * Returns whether streams of different versions may be in progress or be resumed.
     *
     * @param service the service.
     * @return whether it has, or had a moment ago, more than one version.
     */
    public boolean isMixed(String service) {
        return versions(service).size() > 1;
    }

    /**
     * Returns the only version of a service.
     *
     * @param service the service.
     * @return the version; empty if it has had several, or if one is unknown.
     */
    public Optional<String> sole(String service) {
        Set<String> versions = versions(service);
        return versions.size() == 1
                ? versions.stream().filter(version -> !version.isEmpty()).findFirst()
                : Optional.empty();
    }

    /** {@inheritDoc} */
    @Override
    public void onListed(ReplicaRecord record, Optional<ReplicaRecord> before) {
        before.filter(earlier -> !earlier.isSameIncarnation(record)).ifPresent(this::onRemoved);
        boolean isNew = !versions(record.service()).contains(record.softwareVersion());
        byService
                .computeIfAbsent(record.service(), service -> new HashMap<>())
                .computeIfAbsent(record.softwareVersion(), version -> new Presence())
                .listed(record.id());
        if (isNew && isMixed(record.service())) {
            onMixed.accept(record.service());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onUnlisted(ReplicaRecord record) {
        // Its streams may still be resumed; it counts until it is removed, and for a while after that.
    }

    /** {@inheritDoc} */
    @Override
    public void onRemoved(ReplicaRecord record) {
        Optional.ofNullable(byService.get(record.service()))
                .map(versions -> versions.get(record.softwareVersion()))
                .ifPresent(presence -> presence.removed(record.id(), clockMillis.getAsLong()));
    }

    private Set<String> versions(String service) {
        Map<String, Presence> versions = byService.getOrDefault(service, Map.of());
        long nowMillis = clockMillis.getAsLong();
        versions.values().removeIf(presence -> presence.isOver(nowMillis));
        return versions.keySet();
    }

    private static final class Presence {

        private final Set<String> replicaIds = new HashSet<>();
        private long lastMillis;

        private void listed(String id) {
            replicaIds.add(id);
        }

        private void removed(String id, long nowMillis) {
            replicaIds.remove(id);
            lastMillis = nowMillis;
        }

        private boolean isOver(long nowMillis) {
            return replicaIds.isEmpty() && nowMillis - lastMillis > OriginTable.RETENTION_MILLIS;
        }
    }
}
