package io.waxwingquay.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** The versions that each process was seen to have in force, one after another. */
final class VersionRecord implements AutoCloseable {

    private static final long STEP_MILLIS = 2L;

    private final DeploymentWorld world;
    private final Map<String, List<Long>> seen = new LinkedHashMap<>();
    private final Thread watcher = new Thread(this::watch, "version-record");
    private volatile boolean closed;

    VersionRecord(DeploymentWorld world) {
        this.world = world;
    }

    void start() {
        watcher.setDaemon(true);
        watcher.start();
    }

    /** Processes whose version went down, with the versions seen. */
    synchronized List<String> reversions() {
        return seen.entrySet().stream()
                .filter(entry -> IntStream.range(1, entry.getValue().size())
                        .anyMatch(at ->
                                entry.getValue().get(at) < entry.getValue().get(at - 1)))
                .map(Object::toString)
                .collect(Collectors.toList());
    }

    private void watch() {
        while (!closed) {
            note(world.versions());
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS));
        }
    }

    private synchronized void note(Map<String, Long> versions) {
        versions.forEach((process, version) -> {
            List<Long> before = seen.computeIfAbsent(process, name -> new ArrayList<>());
            if (before.isEmpty() || !before.get(before.size() - 1).equals(version)) {
                before.add(version);
            }
        });
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        closed = true;
    }
}
