package io.waxwingquay.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Samples the bundle version in force in each process and records its changes in order. */
final class VersionRecorder implements AutoCloseable {

    private static final long SAMPLE_INTERVAL_MILLIS = 2L;

    private final DeploymentWorld world;
    private final Map<String, List<Long>> versionsByProcess = new LinkedHashMap<>();
    private final Thread sampler = new Thread(this::sampleUntilClosed, "version-record");
    private volatile boolean closed;

    VersionRecorder(DeploymentWorld world) {
        this.world = world;
    }

    void start() {
        sampler.setDaemon(true);
        sampler.start();
    }

    /** Returns the processes whose version has decreased, with the versions recorded. */
    synchronized List<String> processesWithDecrease() {
        return versionsByProcess.entrySet().stream()
                .filter(entry -> IntStream.range(1, entry.getValue().size())
                        .anyMatch(at ->
                                entry.getValue().get(at) < entry.getValue().get(at - 1)))
                .map(Object::toString)
                .collect(Collectors.toList());
    }

    private void sampleUntilClosed() {
        while (!closed) {
            append(world.bundleVersions());
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SAMPLE_INTERVAL_MILLIS));
        }
    }

    private synchronized void append(Map<String, Long> versions) {
        versions.forEach((process, version) -> {
            List<Long> history = versionsByProcess.computeIfAbsent(process, name -> new ArrayList<>());
            if (history.isEmpty() || !history.get(history.size() - 1).equals(version)) {
                history.add(version);
            }
        });
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        closed = true;
    }
}
