package io.waxwingquay.residency;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.transport.generated.AdapterCall;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Adapters of one engine: those that entries wait for, and which of the others makes way for them. */
final class AdapterShelf {

    /** After this an entry has asked elsewhere, or its request has been given up. */
    private static final long CALL_LIMIT_MILLIS = 400L;

    /** An adapter that was just asked for is about to be used, though no entry has told so yet. */
    private static final long GRANT_MILLIS = 500L;

    /** Adapters that an engine takes at the same time. */
    private static final int COMING_LIMIT = 4;

    private final Map<Name, Wait> waits = new LinkedHashMap<>();
    private final Map<Name, Long> usedMillis = new HashMap<>();

    void call(HostPort entry, AdapterCall call, long nowMillis) {
        Name name = new Name(call.getModel(), call.getAdapter());
        usedMillis.put(name, nowMillis);
        Wait wait = waits.computeIfAbsent(name, key -> new Wait(nowMillis, new ArrayList<>()));
        Caller caller = new Caller(entry, call.getId());
        if (!wait.callers.contains(caller)) {
            wait.callers.add(caller);
        }
    }

    boolean isWaiting() {
        return !waits.isEmpty();
    }

    /** Answers those whose adapter is there, and those who had better ask elsewhere: the engine takes no order now. */
    void settle(EngineReport report, Answerer answerer) {
        for (Iterator<Map.Entry<Name, Wait>> each = waits.entrySet().iterator(); each.hasNext(); ) {
            Map.Entry<Name, Wait> entry = each.next();
            Name name = entry.getKey();
            Optional<Boolean> present =
                    report.model(name.model).map(model -> model.adapters().contains(name.adapter));
            if (report.executingOrder() || present.isEmpty() || present.get()) {
                each.remove();
                entry.getValue().answer(answerer, present.orElse(false));
            }
        }
    }

    void refuseAll(Answerer answerer) {
        waits.values().forEach(wait -> wait.answer(answerer, false));
        waits.clear();
    }

    /** The next order that brings an adapter nearer. */
    Optional<EngineControl.Order> next(Engine engine, EngineReport report, Set<String> inUse, long nowMillis) {
        waits.values().removeIf(wait -> nowMillis - wait.sinceMillis > CALL_LIMIT_MILLIS);
        inUse.forEach(text -> usedMillis.put(Name.of(text), nowMillis));
        Optional<Name> wanted = waits.keySet().stream()
                .filter(name -> !report.loadingAdapters().contains(name.toString()))
                .findFirst();
        if (wanted.isEmpty() || report.loadingAdapters().size() >= COMING_LIMIT) {
            return Optional.empty();
        }
        if (report.usedAdapterSlots() < engine.adapterSlots()) {
            return wanted.map(name -> order(true, name, report));
        }
        return leastUsed(report, nowMillis).map(name -> order(false, name, report));
    }

    private Optional<Name> leastUsed(EngineReport report, long nowMillis) {
        return report.models().stream()
                .flatMap(model -> model.adapters().stream().map(adapter -> new Name(model.name(), adapter)))
                .filter(name -> !waits.containsKey(name))
                .filter(name -> nowMillis - usedMillis.getOrDefault(name, Long.MIN_VALUE / 2) > GRANT_MILLIS)
                .min(Comparator.comparingLong(name -> usedMillis.getOrDefault(name, Long.MIN_VALUE / 2)));
    }

    private static EngineControl.Order order(boolean load, Name name, EngineReport report) {
        return new EngineControl.Order(load, name.model, Optional.of(name.adapter), report.ordersTaken());
    }

    /** Takes the answers to calls. */
    @FunctionalInterface
    interface Answerer {

        void answer(HostPort entry, long id, boolean present);
    }

    private record Name(String model, String adapter) {

        static Name of(String text) {
            int slash = text.indexOf('/');
            return new Name(text.substring(0, slash), text.substring(slash + 1));
        }

        /** {@inheritDoc} */
        @Override
        public String toString() {
            return model + "/" + adapter;
        }
    }

    private record Caller(HostPort entry, long id) {}

    private record Wait(long sinceMillis, List<Caller> callers) {

        void answer(Answerer answerer, boolean present) {
            callers.forEach(caller -> answerer.answer(caller.entry, caller.id, present));
        }
    }
}
