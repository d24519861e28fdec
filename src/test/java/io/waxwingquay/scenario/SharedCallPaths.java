package io.waxwingquay.scenario;

import io.cucumber.java.AfterAll;
import java.util.Map;
import java.util.TreeMap;

/** Paths that scenarios share one after the other, as a start takes seconds; each scenario gets one without faults. */
public final class SharedCallPaths {

    private static final Map<String, CallPathWorld> WORLDS = new TreeMap<>();

    private SharedCallPaths() {}

    static CallPathWorld take(int engines, int plains) throws Exception {
        String key = engines + "/" + plains;
        CallPathWorld world = WORLDS.get(key);
        if (world == null) {
            world = CallPathWorld.start(engines, plains);
            WORLDS.put(key, world);
        }
        world.heal();
        return world;
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
