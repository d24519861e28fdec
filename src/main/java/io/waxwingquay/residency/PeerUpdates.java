package io.waxwingquay.residency;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.peer.NewsNumber;
import io.waxwingquay.peer.NewsPace;
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

/** What this process hears from entries and from the processes beside other engines. */
final class PeerUpdates {

    private final String service;
    private final Map<HostPort, Received<EntryNews>> entries = new HashMap<>();
    private final Map<HostPort, Received<EngineNews>> engines = new HashMap<>();

    /** What entries list, put together; kept, as it seldom changes and is asked for all the time. */
    private Set<HostPort> listedEngines = Set.of();

    PeerUpdates(String service) {
        this.service = service;
    }

    /**
     * Takes in news of an entry. Parts that it leaves out are as they were.
     *
     * @return whether the entry was known and has started again.
     */
    boolean onEntryUpdate(HostPort sender, EntryNews update, long nowMillis) {
        expire(nowMillis);
        Optional<EntryNews> known = Optional.ofNullable(entries.get(sender)).map(Received::update);
        if (known.filter(before -> NewsNumber.isOvertaken(update.getNumber(), before.getNumber()))
                .isPresent()) {
            return false;
        }
        known.ifPresent(before -> carryOverUnset(update, before));
        if (!update.isSetDemand() || !update.isSetEngineAddresses()) {
            return false;
        }
        entries.put(sender, new Received<>(update, nowMillis));
        boolean isListUnchanged = known.map(
                        before -> before.getEngineAddresses().equals(update.getEngineAddresses()))
                .orElse(false);
        if (!isListUnchanged) {
            rebuildListedEngines();
        }
        return isRestarted(known.map(EntryNews::getNumber), update.getNumber());
    }

    private static void carryOverUnset(EntryNews update, EntryNews before) {
        if (!update.isSetDemand()) {
            update.setDemand(before.getDemand());
        }
        if (!update.isSetEngineAddresses()) {
            update.setEngineAddresses(before.getEngineAddresses());
        }
        if (!update.isSetTables() && before.isSetTables()) {
            update.setTables(before.getTables());
        }
    }

    /**
     * Takes in news of an engine; one of another service holds other models and has no part in the plan.
     *
     * @return whether the process beside the engine was known and has started again.
     */
    boolean onEngineUpdate(EngineNews update, long nowMillis) {
        if (!service.equals(update.getServiceName())) {
            return false;
        }
        expire(nowMillis);
        HostPort address = HostPort.of(update.getEngineAddress());
        Optional<EngineNews> known = Optional.ofNullable(engines.get(address)).map(Received::update);
        if (known.filter(before -> NewsNumber.isOvertaken(update.getNumber(), before.getNumber()))
                .isPresent()) {
            return false;
        }
        engines.put(address, new Received<>(update, nowMillis));
        return isRestarted(known.map(EngineNews::getNumber), update.getNumber());
    }

    private static boolean isRestarted(Optional<Long> known, long number) {
        return known.map(before -> !NewsNumber.isSameLife(number, before)).orElse(false);
    }

    Set<HostPort> entryAddresses(long nowMillis) {
        expire(nowMillis);
        return Set.copyOf(entries.keySet());
    }

    /** Entries that had requests in the engine when they last told. */
    Set<HostPort> activeEntries(long nowMillis) {
        expire(nowMillis);
        return entries.entrySet().stream()
                .filter(entry -> !entry.getValue().update.getModelsInUse().isEmpty())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Engines of the service that entries know of: those that the platform lists. */
    Set<HostPort> listedEngines(long nowMillis) {
        expire(nowMillis);
        return listedEngines;
    }

    private void rebuildListedEngines() {
        listedEngines = entries.values().stream()
                .flatMap(heard -> heard.update.getEngineAddresses().stream())
                .distinct()
                .map(HostPort::of)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Entries tell engines only; processes beside engines tell both. */
    private void expire(long nowMillis) {
        long entryMillis = NewsPace.heardMillis(listedEngines.size());
        long engineMillis = NewsPace.heardMillis(listedEngines.size() + entries.size());
        engines.values().removeIf(heard -> heard.isOlder(engineMillis, nowMillis));
        if (entries.values().removeIf(heard -> heard.isOlder(entryMillis, nowMillis))) {
            rebuildListedEngines();
        }
    }

    Map<String, CopyPlan.Demand> demand(long nowMillis) {
        expire(nowMillis);
        Map<String, CopyPlan.Demand> all = new HashMap<>();
        entries.values().forEach(heard -> heard.update
                .getDemand()
                .forEach((model, each) -> all.merge(
                        model,
                        new CopyPlan.Demand(each.getPerSecond(), each.getSlowPerSecond(), each.getAtOnce()),
                        CopyPlan.Demand::plus)));
        return all;
    }

    /** The entry that has the newest configuration, and of those the newest list of replicas. */
    Optional<Map.Entry<HostPort, TableVersions>> newestTables(long nowMillis) {
        expire(nowMillis);
        return entries.entrySet().stream()
                .filter(entry -> entry.getValue().update.isSetTables())
                .map(entry -> Map.entry(entry.getKey(), entry.getValue().update.getTables()))
                .max(Comparator.comparing(Map.Entry::getValue));
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
                .flatMap(heard -> names.apply(heard.update).stream())
                .collect(Collectors.toCollection(HashSet::new));
    }

    /**
     * The other engines that get requests.
     *
     * <p>Failure: an engine is taken off the platform's list and runs on, as does the process beside it. Symptom: copies
     * that no request can reach count, and others make way for what is asked for seldom. Entries send only to what they
     * list, so what none of them lists has no part; while no entry is heard, nothing is known of the list.
     *
     * <p>Where two processes have announced the same model, the one that comes first in order brings it
     * in; for that one the other's announcement does not count.
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

    /** Whether each engine that entries list has told of itself lately. */
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

    /** Whether an entry knows another engine configuration than the one known here. */
    boolean hasOtherConfiguration(long digest) {
        return entries.values().stream()
                .map(heard -> heard.update.getEngineDigest())
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
