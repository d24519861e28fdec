package io.waxwingquay.residency;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.peer.UpdateSequence;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.HeldModel;
import io.waxwingquay.transport.generated.PeerDatagram;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Sends status updates about one engine to entries and to the sides of the other engines. */
final class EngineUpdates {

    private final HostPort address;
    private final String service;
    private final PeerUpdates peers;
    private final ModelMover mover;
    private final WeightLoadLimiter loadLimiter;
    private final BooleanSupplier grantsSlots;
    private final EngineManager.Sender sender;
    private final UpdateSequence updateNumber = new UpdateSequence(EventLoop.nowMillis());
    private final UpdateSchedule schedule = new UpdateSchedule();
    private Set<HostPort> lastRecipients = Set.of();

    EngineUpdates(
            HostPort address,
            String service,
            PeerUpdates peers,
            ModelMover mover,
            WeightLoadLimiter loadLimiter,
            BooleanSupplier grantsSlots,
            EngineManager.Sender sender) {
        this.address = address;
        this.service = service;
        this.peers = peers;
        this.mover = mover;
        this.loadLimiter = loadLimiter;
        this.grantsSlots = grantsSlots;
        this.sender = sender;
    }

    /** Sends a full update to one process. */
    void sendFull(HostPort recipient, EngineReport current, Optional<Engine> engine, long nowMillis) {
        sender.send(recipient, fullUpdate(current, engine, nowMillis));
    }

    /** Sends what is due now, and a full update to processes that were not known before. */
    void sendDue(EngineReport current, Optional<Engine> engine, long nowMillis) {
        Set<HostPort> recipients = allRecipients(nowMillis);
        Set<HostPort> activeEntries = peers.activeEntries(nowMillis);
        Set<HostPort> newRecipients = recipients.stream()
                .filter(each -> !lastRecipients.contains(each))
                .collect(Collectors.toSet());
        lastRecipients = recipients;
        switch (schedule.nextUpdate(status(current, nowMillis), recipients.size(), activeEntries.size(), nowMillis)) {
            case FULL_TO_ALL -> sender.send(recipients, fullUpdate(current, engine, nowMillis));
            case FULL_TO_ACTIVE_ENTRIES -> {
                newRecipients.addAll(activeEntries);
                sender.send(newRecipients, fullUpdate(current, engine, nowMillis));
            }
            case LOAD_TO_ACTIVE_ENTRIES -> {
                sender.send(activeEntries, PeerDatagram.engine(loadUpdate(current, engine, nowMillis)));
                sender.send(newRecipients, fullUpdate(current, engine, nowMillis));
            }
            default -> sender.send(newRecipients, fullUpdate(current, engine, nowMillis));
        }
    }

    private Set<HostPort> allRecipients(long nowMillis) {
        Set<HostPort> all = new HashSet<>(peers.entryAddresses(nowMillis));
        peers.listedEngines(nowMillis).stream()
                .filter(engineAddress -> !engineAddress.equals(address))
                .forEach(engineAddress -> all.add(sender.sideAddress(engineAddress)));
        return all;
    }

    private UpdateSchedule.EngineStatus status(EngineReport current, long nowMillis) {
        List<HeldModel> routable = routableModels(current);
        return new UpdateSchedule.EngineStatus(
                routableModelNames(current),
                Set.copyOf(hostCachedModels(current)),
                mover.loadingModel(),
                loadLimiter.recentLoads(nowMillis),
                current.draining(),
                grantsSlots.getAsBoolean(),
                peers.newestTables(nowMillis)
                        .map(newest -> newest.getValue().getConfiguration())
                        .orElse(0L),
                routable.stream()
                        .flatMap(model -> model.getAdapters().stream().map(name -> model.getName() + "/" + name))
                        .collect(Collectors.toSet()),
                current.running() + current.waiting());
    }

    private static List<String> hostCachedModels(EngineReport current) {
        return Stream.concat(current.onDisk().stream(), current.inHostMemory().stream())
                .distinct()
                .toList();
    }

    private PeerDatagram fullUpdate(EngineReport current, Optional<Engine> engine, long nowMillis) {
        return PeerDatagram.engine(loadUpdate(current, engine, nowMillis)
                .setServiceName(service)
                .setModels(routableModels(current))
                .setNearModels(hostCachedModels(current))
                .setModelsInUse(new ArrayList<>(peers.modelsInUse(nowMillis))));
    }

    /** Creates an update without models, which reports the engine's load. */
    private EngineNews loadUpdate(EngineReport current, Optional<Engine> engine, long nowMillis) {
        EngineNews update = new EngineNews()
                .setEngineAddress(address.toString())
                .setBornMillis(current.bornMillis())
                .setNumber(updateNumber.next())
                .setRunning(current.running())
                .setWaiting(current.waiting())
                .setKvUsedTokens(current.kvUsedTokens())
                .setKvTotalTokens(current.kvTotalTokens())
                .setStoreLoads(loadLimiter.recentLoads(nowMillis))
                .setDraining(current.draining())
                .setEntries(peers.entryAddresses(nowMillis).size());
        peers.newestTables(nowMillis).ifPresent(newest -> update.setNewestTables(newest.getValue())
                .setNewestTablesHost(newest.getKey().host()));
        if (grantsSlots.getAsBoolean()) {
            // Left out otherwise, so that updates of deployments that grant no slots are no longer than without the
            // field.
            update.setGrantsSlots(true);
        }
        mover.loadingModel().ifPresent(model -> {
            update.setLoadingModel(model);
            update.setLoadingMillis(engine.map(known -> mover.remainingMillis(known, current, nowMillis))
                    .orElse(0L));
        });
        return update;
    }

    /** Returns the names of the models that requests may be routed to. */
    Set<String> routableModelNames(EngineReport current) {
        return routableModels(current).stream().map(HeldModel::getName).collect(Collectors.toSet());
    }

    /** Returns the models that requests may be routed to: all models held except those being evicted. */
    private List<HeldModel> routableModels(EngineReport current) {
        return current.models().stream()
                .filter(model -> !mover.modelsBeingEvicted().contains(model.name()))
                .map(model -> new HeldModel(model.name(), new ArrayList<>(model.adapters())))
                .toList();
    }
}
