package io.waxwingquay.forward;

import io.waxwingquay.transport.generated.ModelDemand;
import java.util.HashMap;
import java.util.Map;

/** What callers ask of each model at this entry. */
final class DemandMeter {

    /** Short enough to follow a shift of demand within seconds, long enough not to chase single requests. */
    private static final double HALF_LIFE_MILLIS = 3_000.0;

    private static final double FORGOTTEN = 0.02;

    private final Map<String, Demand> byModel = new HashMap<>();

    void asked(String model, long nowMillis) {
        demand(model).asked.add(1, nowMillis);
    }

    void began(String model) {
        demand(model).inFlight++;
    }

    void ended(String model) {
        demand(model).inFlight--;
    }

    void turnedAway(String model, long nowMillis) {
        demand(model).turnedAway.add(1, nowMillis);
    }

    void waiting(String model, int change) {
        demand(model).waiting += change;
    }

    Map<String, ModelDemand> snapshot(long nowMillis) {
        Map<String, ModelDemand> all = new HashMap<>();
        byModel.entrySet().removeIf(entry -> entry.getValue().isOver(nowMillis));
        byModel.forEach((model, demand) -> all.put(model, demand.tell(nowMillis)));
        return all;
    }

    private Demand demand(String model) {
        return byModel.computeIfAbsent(model, key -> new Demand());
    }

    private static final class Demand {

        private final Decayed asked = new Decayed(HALF_LIFE_MILLIS);
        private final Decayed turnedAway = new Decayed(HALF_LIFE_MILLIS);
        private int inFlight;
        private int waiting;

        private boolean isOver(long nowMillis) {
            return inFlight == 0 && waiting == 0 && asked.value(nowMillis) < FORGOTTEN;
        }

        private ModelDemand tell(long nowMillis) {
            int away = (int) Math.round(turnedAway.value(nowMillis)) + waiting;
            return new ModelDemand(asked.perSecond(nowMillis), inFlight + waiting, away);
        }
    }
}
