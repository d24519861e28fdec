package io.waxwingquay.scenario;

import io.cucumber.java.AfterAll;
import java.util.Map;
import java.util.TreeMap;

/** Paths that scenarios share one after the other, as a start takes seconds; each scenario gets one without faults. */
public final class SharedPath {

    private static final Map<String, CallPathWorld> WORLDS = new TreeMap<>();

    private SharedPath() {}

    static CallPathWorld take(int engines, int plains) throws Exception {
        String size = engines + "/" + plains;
        CallPathWorld known = WORLDS.get(size);
        if (known == null) {
            known = CallPathWorld.start(engines, plains);
            WORLDS.put(size, known);
        }
        known.heal();
        return known;
    }

    /** Ends a path that a scenario has broken for good. */
    static void discard(CallPathWorld world) {
        if (WORLDS.values().remove(world)) {
            world.close();
        }
    }

    /** Ends all of them. */
    @AfterAll
    public static void close() {
        WORLDS.values().forEach(CallPathWorld::close);
        WORLDS.clear();
    }
}
