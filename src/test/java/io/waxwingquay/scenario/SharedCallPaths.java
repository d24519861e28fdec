package io.waxwingquay.scenario;

import io.cucumber.java.AfterAll;
import java.util.Map;
import java.util.TreeMap;

/** Call paths that scenarios reuse one after another, as a start takes seconds; each use begins without faults. */
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

    /** Closes a call path that a scenario has permanently broken, so that it is not reused. */
    static void discard(CallPathWorld world) {
        if (WORLDS.values().remove(world)) {
            world.close();
        }
    }

    /** Closes all call paths. */
    @AfterAll
    public static void close() {
        WORLDS.values().forEach(CallPathWorld::close);
        WORLDS.clear();
    }
}
