package io.waxwingquay.origin;

import io.waxwingquay.fleet.ReplicaDirectory;
import io.waxwingquay.fleet.ReplicaRecord;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The software versions that each service has had for as long as a stream may last, by the list of replicas. If that is
 * one, it started each stream of the service that is still in progress.
 */
public final class ServedVersions implements ReplicaDirectory.Listener {

    private final LongSupplier clockMillis;
    private final Map<String, Map<String, Presence>> byService = new HashMap<>();
    private OptionalLong followedSinceMillis = OptionalLong.empty();
    private boolean isFollowed = true;

    /**
     * Creates an empty history.
     *
     * @param clockMillis the monotonic clock.
     */
    public ServedVersions(LongSupplier clockMillis) {
        this.clockMillis = clockMillis;
    }

    /**
     * Returns the only version of a service.
     *
     * @param service the service.
     * @return the version; empty if it has had several, if one is unknown, or if the list has not been read for as long as
     *     a stream may last, so that a version may have left before.
     */
    public Optional<String> sole(String service) {
        Set<String> versions = versions(service);
        return versions.size() == 1 && isFollowedLongEnough()
                ? versions.stream().filter(version -> !version.isEmpty()).findFirst()
                : Optional.empty();
    }

    /** {@inheritDoc} */
    @Override
    public void onListed(ReplicaRecord record, Optional<ReplicaRecord> before) {
        if (isFollowed && followedSinceMillis.isEmpty()) {
            followedSinceMillis = OptionalLong.of(clockMillis.getAsLong());
        }
        before.filter(earlier -> !earlier.isSameIncarnation(record)).ifPresent(this::onRemoved);
        byService
                .computeIfAbsent(record.service(), service -> new HashMap<>())
                .computeIfAbsent(record.softwareVersion(), version -> new Presence())
                .listed(record.id());
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

    /** {@inheritDoc} */
    @Override
    public void onFollowed(boolean isFollowedNow) {
        isFollowed = isFollowedNow;
        followedSinceMillis = isFollowed ? OptionalLong.of(clockMillis.getAsLong()) : OptionalLong.empty();
    }

    private boolean isFollowedLongEnough() {
        return followedSinceMillis.isPresent()
                && clockMillis.getAsLong() - followedSinceMillis.getAsLong() > OriginTable.RETENTION_MILLIS;
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
