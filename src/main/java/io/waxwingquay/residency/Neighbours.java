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
final class Neighbours {

    private final String service;
    private final Map<HostPort, Heard<EntryNews>> entries = new HashMap<>();
    private final Map<HostPort, Heard<EngineNews>> engines = new HashMap<>();

    /** What entries list, put together; kept, as it seldom changes and is asked for all the time. */
    private Set<HostPort> listed = Set.of();

    Neighbours(String service) {
        this.service = service;
    }

    /**
     * Takes in news of an entry. Parts that it leaves out are as they were.
     *
     * @return whether the entry was known and has started again.
     */
    boolean entry(HostPort sender, EntryNews news, long nowMillis) {
        forget(nowMillis);
        Optional<EntryNews> known = Optional.ofNullable(entries.get(sender)).map(Heard::news);
        if (known.filter(before -> NewsNumber.isOvertaken(news.getNumber(), before.getNumber()))
                .isPresent()) {
            return false;
        }
        known.ifPresent(before -> fill(news, before));
        if (!news.isSetDemand() || !news.isSetEngineAddresses()) {
            return false;
        }
        entries.put(sender, new Heard<>(news, nowMillis));
        boolean isListed = known.map(before -> before.getEngineAddresses().equals(news.getEngineAddresses()))
                .orElse(false);
        if (!isListed) {
            listAgain();
        }
        return isStartedAgain(known.map(EntryNews::getNumber), news.getNumber());
    }

    private static void fill(EntryNews news, EntryNews before) {
        if (!news.isSetDemand()) {
            news.setDemand(before.getDemand());
        }
        if (!news.isSetEngineAddresses()) {
            news.setEngineAddresses(before.getEngineAddresses());
        }
        if (!news.isSetTables() && before.isSetTables()) {
            news.setTables(before.getTables());
        }
    }

    /**
     * Takes in news of an engine; one of another service holds other models and has no part in the plan.
     *
     * @return whether the process beside the engine was known and has started again.
     */
    boolean engine(EngineNews news, long nowMillis) {
        if (!service.equals(news.getServiceName())) {
            return false;
        }
        forget(nowMillis);
        HostPort address = HostPort.of(news.getEngineAddress());
        Optional<EngineNews> known = Optional.ofNullable(engines.get(address)).map(Heard::news);
        if (known.filter(before -> NewsNumber.isOvertaken(news.getNumber(), before.getNumber()))
                .isPresent()) {
            return false;
        }
        engines.put(address, new Heard<>(news, nowMillis));
        return isStartedAgain(known.map(EngineNews::getNumber), news.getNumber());
    }

    private static boolean isStartedAgain(Optional<Long> known, long number) {
        return known.map(before -> !NewsNumber.isSameLife(number, before)).orElse(false);
    }

    Set<HostPort> entryAddresses(long nowMillis) {
        forget(nowMillis);
        return Set.copyOf(entries.keySet());
    }

    /** Entries that had requests in the engine when they last told. */
    Set<HostPort> users(long nowMillis) {
        forget(nowMillis);
        return entries.entrySet().stream()
                .filter(entry -> !entry.getValue().news.getModelsInUse().isEmpty())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Engines of the service that entries know of: those that the platform lists. */
    Set<HostPort> listedEngines(long nowMillis) {
        forget(nowMillis);
        return listed;
    }

    private void listAgain() {
        listed = entries.values().stream()
                .flatMap(heard -> heard.news.getEngineAddresses().stream())
                .distinct()
                .map(HostPort::of)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Entries tell engines only; processes beside engines tell both. */
    private void forget(long nowMillis) {
        long entryMillis = NewsPace.heardMillis(listed.size());
        long engineMillis = NewsPace.heardMillis(listed.size() + entries.size());
        engines.values().removeIf(heard -> heard.isOlder(engineMillis, nowMillis));
        if (entries.values().removeIf(heard -> heard.isOlder(entryMillis, nowMillis))) {
            listAgain();
        }
    }

    Map<String, CopyPlan.Demand> demand(long nowMillis) {
        forget(nowMillis);
        Map<String, CopyPlan.Demand> all = new HashMap<>();
        entries.values().forEach(heard -> heard.news
                .getDemand()
                .forEach((model, each) -> all.merge(
                        model,
                        new CopyPlan.Demand(each.getPerSecond(), each.getSlowPerSecond(), each.getAtOnce()),
                        CopyPlan.Demand::plus)));
        return all;
    }

    /** The entry that has the newest configuration, and of those the newest list of replicas. */
    Optional<Map.Entry<HostPort, TableVersions>> newestTables(long nowMillis) {
        forget(nowMillis);
        return entries.entrySet().stream()
                .filter(entry -> entry.getValue().news.isSetTables())
                .map(entry -> Map.entry(entry.getKey(), entry.getValue().news.getTables()))
                .max(Comparator.comparing(Map.Entry::getValue));
    }

    Set<String> adaptersInUse(long nowMillis) {
        return inUse(EntryNews::getAdaptersInUse, nowMillis);
    }

    Set<String> modelsInUse(long nowMillis) {
        return inUse(EntryNews::getModelsInUse, nowMillis);
    }

    private Set<String> inUse(Function<EntryNews, List<String>> names, long nowMillis) {
        forget(nowMillis);
        return entries.values().stream()
                .flatMap(heard -> names.apply(heard.news).stream())
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
    List<CopyPlan.EngineView> others(HostPort own, Optional<String> announced, long nowMillis) {
        forget(nowMillis);
        Set<HostPort> listed = listedEngines(nowMillis);
        return engines.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(own))
                .filter(entry -> listed.isEmpty() || listed.contains(entry.getKey()))
                .filter(entry -> !entry.getValue().news.isDraining())
                .map(entry -> view(entry.getKey(), entry.getValue().news))
                .map(view -> isAfter(view, own, announced) ? view.withoutLoading() : view)
                .toList();
    }

    /** Whether each engine that entries list has told of itself lately. */
    boolean hasHeardAll(HostPort own, long nowMillis) {
        forget(nowMillis);
        return !listed.isEmpty()
                && listed.stream().filter(address -> !address.equals(own)).allMatch(engines::containsKey);
    }

    int othersStoreLoads(HostPort own, long nowMillis) {
        forget(nowMillis);
        return engines.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(own))
                .mapToInt(entry -> entry.getValue().news.getStoreLoads())
                .sum();
    }

    /** Whether an entry knows another engine configuration than the one known here. */
    boolean isOtherConfiguration(long digest) {
        return entries.values().stream()
                .map(heard -> heard.news.getEngineDigest())
                .anyMatch(other -> other != 0 && other != digest);
    }

    private static boolean isAfter(CopyPlan.EngineView view, HostPort own, Optional<String> announced) {
        return announced.isPresent()
                && view.loading().equals(announced)
                && view.address().toString().compareTo(own.toString()) > 0;
    }

    private static CopyPlan.EngineView view(HostPort address, EngineNews news) {
        return new CopyPlan.EngineView(
                address,
                news.getModels().stream().map(HeldModel::getName).collect(Collectors.toSet()),
                Optional.ofNullable(news.getLoadingModel()),
                Set.copyOf(news.getNearModels()),
                Set.copyOf(news.getModelsInUse()),
                news.getStoreLoads(),
                news.getRunning() + news.getWaiting());
    }

    private record Heard<T>(T news, long atMillis) {

        boolean isOlder(long millis, long nowMillis) {
            return nowMillis - atMillis > millis;
        }
    }
}
