package io.waxwingquay.residency;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.peer.UpdateInterval;
import io.waxwingquay.peer.UpdateSequence;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.EntryNews;
import io.waxwingquay.transport.generated.HeldModel;
import io.waxwingquay.transport.generated.TableVersions;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Keeps the latest status updates received from entries and from the sides of other engines. */
final class PeerUpdates {

    private final String service;
    private final Map<HostPort, Received<EntryNews>> entries = new HashMap<>();
    private final Map<HostPort, Received<EngineNews>> engines = new HashMap<>();

    /** The union of the engines that entries list; cached, as it rarely changes and is read often. */
    private Set<HostPort> listedEngines = Set.of();

    PeerUpdates(String service) {
        this.service = service;
    }

    /**
     * Handles an update from an entry. Fields that it leaves out keep their previous values.
     *
     * @return whether the entry was known and has restarted.
     */
    boolean onEntryUpdate(HostPort sender, EntryNews update, long nowMillis) {
        expire(nowMillis);
        Optional<EntryNews> known = Optional.ofNullable(entries.get(sender)).map(Received::update);
        if (known.filter(previous -> UpdateSequence.isSuperseded(update.getNumber(), previous.getNumber()))
                .isPresent()) {
            return false;
        }
        known.ifPresent(previous -> carryOverUnset(update, previous));
        if (!update.isSetDemand() || !update.isSetEngineAddresses()) {
            return false;
        }
        entries.put(sender, new Received<>(update, nowMillis));
        boolean isListUnchanged = known.map(
                        previous -> previous.getEngineAddresses().equals(update.getEngineAddresses()))
                .orElse(false);
        if (!isListUnchanged) {
            rebuildListedEngines();
        }
        return isRestarted(known.map(EntryNews::getNumber), update.getNumber());
    }

    private static void carryOverUnset(EntryNews update, EntryNews previous) {
        if (!update.isSetDemand()) {
            update.setDemand(previous.getDemand());
        }
        if (!update.isSetEngineAddresses()) {
            update.setEngineAddresses(previous.getEngineAddresses());
        }
        if (!update.isSetTables() && previous.isSetTables()) {
            update.setTables(previous.getTables());
        }
    }

    /**
     * Handles an update about an engine. Engines of other services hold other models and are ignored.
     *
     * @return whether the side of the engine was known and has restarted.
     */
    boolean onEngineUpdate(EngineNews update, long nowMillis) {
        if (!service.equals(update.getServiceName())) {
            return false;
        }
        expire(nowMillis);
        HostPort address = HostPort.of(update.getEngineAddress());
        Optional<EngineNews> known = Optional.ofNullable(engines.get(address)).map(Received::update);
        if (known.filter(previous -> UpdateSequence.isSuperseded(update.getNumber(), previous.getNumber()))
                .isPresent()) {
            return false;
        }
        engines.put(address, new Received<>(update, nowMillis));
        return isRestarted(known.map(EngineNews::getNumber), update.getNumber());
    }

    private static boolean isRestarted(Optional<Long> known, long number) {
        return known.map(previous -> !UpdateSequence.isSameIncarnation(number, previous))
                .orElse(false);
    }

    Set<HostPort> entryAddresses(long nowMillis) {
        expire(nowMillis);
        return Set.copyOf(entries.keySet());
    }

    /** Returns the entries that had requests in the engine as of their last update. */
    Set<HostPort> activeEntries(long nowMillis) {
        expire(nowMillis);
        return entries.entrySet().stream()
                .filter(entry -> !entry.getValue().update.getModelsInUse().isEmpty())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns the engines of the service that entries know, which are those that the platform lists. */
    Set<HostPort> listedEngines(long nowMillis) {
        expire(nowMillis);
        return listedEngines;
    }

    private void rebuildListedEngines() {
        listedEngines = entries.values().stream()
                .flatMap(received -> received.update.getEngineAddresses().stream())
                .distinct()
                .map(HostPort::of)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Drops updates that are too old. The validity period depends on the sender's number of receivers: entries send to
     * engines only, sides send to engines and entries.
     */
    private void expire(long nowMillis) {
        long entryMillis = UpdateInterval.staleAfterMillis(listedEngines.size());
        long engineMillis = UpdateInterval.staleAfterMillis(listedEngines.size() + entries.size());
        engines.values().removeIf(received -> received.isOlder(engineMillis, nowMillis));
        if (entries.values().removeIf(received -> received.isOlder(entryMillis, nowMillis))) {
            rebuildListedEngines();
        }
    }

    Map<String, CopyPlan.Demand> demand(long nowMillis) {
        expire(nowMillis);
        Map<String, CopyPlan.Demand> all = new HashMap<>();
        entries.values().forEach(received -> received.update
                .getDemand()
                .forEach((model, each) -> all.merge(
                        model,
                        new CopyPlan.Demand(each.getPerSecond(), each.getSlowPerSecond(), each.getAtOnce()),
                        CopyPlan.Demand::plus)));
        return all;
    }

    /** Returns the entry with the newest configuration, and among those the one with the newest replica list. */
    Optional<Map.Entry<HostPort, TableVersions>> newestTables(long nowMillis) {
        expire(nowMillis);
        return entries.entrySet().stream()
                .filter(entry -> entry.getValue().update.isSetTables())
                .map(entry -> Map.entry(entry.getKey(), entry.getValue().update.getTables()))
                .max(Map.Entry.comparingByValue(Comparator.comparingLong(TableVersions::getConfiguration)
                        .thenComparingLong(TableVersions::getReplicaListTimeline)
                        .thenComparingLong(TableVersions::getReplicaList)));
    }

    Set<String> adaptersInUse(long nowMillis) {
        return inUse(EntryNews::getAdaptersInUse, nowMillis);
    }

    Set<String> modelsInUse(long nowMillis) {
        return inUse(EntryNews::getModelsInUse, nowMillis);
    }

    private Set<String> inUse(Function<EntryNews, List<String>> names, long nowMillis) {
        expire(nowMillis);
        return entries.values().stream()
                .flatMap(received -> names.apply(received.update).stream())
                .collect(Collectors.toCollection(HashSet::new));
    }

    /**
     * Returns the other engines that can receive requests.
     *
     * <p>Failure: an engine is unlisted but keeps running, as does its side. Symptom: copies that no request can
     * reach are counted, and reachable copies of rarely used models are evicted. Entries send requests only to listed
     * engines, so an engine that no entry lists is ignored; while no entry sends updates, the list is unknown and no
     * engine is ignored.
     *
     * <p>When two processes have announced the same model, the one that ranks first by address loads it and ignores
     * the other's announcement.
     */
    List<CopyPlan.EngineView> otherEngines(HostPort own, Optional<String> announced, long nowMillis) {
        expire(nowMillis);
        Set<HostPort> listed = listedEngines(nowMillis);
        return engines.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(own))
                .filter(entry -> listed.isEmpty() || listed.contains(entry.getKey()))
                .filter(entry -> !entry.getValue().update.isDraining())
                .map(entry -> view(entry.getKey(), entry.getValue().update))
                .map(view -> yieldsTo(view, own, announced) ? view.withoutLoading() : view)
                .toList();
    }

    /** Returns whether there is a recent update about every engine that entries list. */
    boolean hasUpdatesFromAll(HostPort own, long nowMillis) {
        expire(nowMillis);
        return !listedEngines.isEmpty()
                && listedEngines.stream()
                        .filter(address -> !address.equals(own))
                        .allMatch(engines::containsKey);
    }

    int otherStoreLoads(HostPort own, long nowMillis) {
        expire(nowMillis);
        return engines.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(own))
                .mapToInt(entry -> entry.getValue().update.getStoreLoads())
                .sum();
    }

    /** Returns whether an entry has another engine configuration than the given one. */
    boolean hasOtherConfiguration(long digest) {
        return entries.values().stream()
                .map(received -> received.update.getEngineDigest())
                .anyMatch(other -> other != 0 && other != digest);
    }

    private static boolean yieldsTo(CopyPlan.EngineView view, HostPort own, Optional<String> announced) {
        return announced.isPresent()
                && view.loading().equals(announced)
                && view.address().toString().compareTo(own.toString()) > 0;
    }

    private static CopyPlan.EngineView view(HostPort address, EngineNews update) {
        return new CopyPlan.EngineView(
                address,
                update.getModels().stream().map(HeldModel::getName).collect(Collectors.toSet()),
                Optional.ofNullable(update.getLoadingModel()),
                Set.copyOf(update.getNearModels()),
                Set.copyOf(update.getModelsInUse()),
                update.getStoreLoads(),
                update.getRunning() + update.getWaiting());
    }

    private record Received<T>(T update, long receivedMillis) {

        boolean isOlder(long millis, long nowMillis) {
            return nowMillis - receivedMillis > millis;
        }
    }
}
