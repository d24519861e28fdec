package io.waxwingquay.pace;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The longest intended pauses of the streams that the engine runs or is about to run. Reports don't name them, so an
 * objective is in force for as long as a stream may last after its admission.
 */
final class PauseObjectives {

    /** Time for which an objective is in force; the longest deadlines are about 20 s. */
    private static final long RETENTION_MILLIS = 20_000L;

    /** The most objectives remembered; routes have few different ones. */
    private static final int MAX_OBJECTIVES = 16;

    private final Map<Long, Long> admittedAtByObjective = new HashMap<>();

    /**
     * Notes the objective of an admitted stream.
     *
     * @param objectiveMillis its longest intended pause; 0 if there is none.
     * @param nowMillis the monotonic time.
     */
    void add(long objectiveMillis, long nowMillis) {
        if (objectiveMillis <= 0) {
            return;
        }
        admittedAtByObjective.put(objectiveMillis, nowMillis);
        if (admittedAtByObjective.size() > MAX_OBJECTIVES) {
            admittedAtByObjective.remove(
                    admittedAtByObjective.keySet().stream().max(Long::compare).orElseThrow());
        }
    }

    /**
     * Returns the shortest objective in force.
     *
     * @param nowMillis the monotonic time.
     * @return the objective in milliseconds; empty if there is none.
     */
    OptionalLong shortest(long nowMillis) {
        admittedAtByObjective.values().removeIf(atMillis -> nowMillis - atMillis > RETENTION_MILLIS);
        return admittedAtByObjective.keySet().stream()
                .mapToLong(Long::longValue)
                .min();
    }

    /** Forgets all, as no stream is left. */
    void clear() {
        admittedAtByObjective.clear();
    }
}
