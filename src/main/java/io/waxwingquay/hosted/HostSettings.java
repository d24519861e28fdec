package io.waxwingquay.hosted;

import io.waxwingquay.common.HostPort;
import java.util.List;
import java.util.Optional;

/**
 * What a process is told about its VM and the deployment.
 *
 * @param node the VM's name.
 * @param zone its data centre.
 * @param host its IP number.
 * @param peerPort the port for datagrams between our processes; the same on every VM.
 * @param adminPort the port for metrics and the state dump.
 * @param callers where callers' requests are taken, on VMs that take them.
 * @param readiness where the platform asks whether this process is ready, on the same VMs.
 * @param engine the engine beside this process, on VMs that have one.
 * @param service the service that this engine belongs to.
 * @param store the platform's store.
 * @param firstStart whether the whole system starts for the first time, so that no process did anything before.
 * @param seeds IP numbers of a few VMs that may take callers' requests; some may be gone.
 * @param bounds the figures that the deployment holds its processes to.
 */
public record HostSettings(
        String node,
        String zone,
        String host,
        int peerPort,
        int adminPort,
        Optional<HostPort> callers,
        Optional<HostPort> readiness,
        Optional<HostPort> engine,
        Optional<String> service,
        HostPort store,
        boolean firstStart,
        List<String> seeds,
        Bounds bounds) {

    /**
     * The figures that the deployment holds its processes to.
     *
     * @param drainMillis how soon after it says so a leaving replica gets no new work.
     * @param graceMillis time between SIGTERM and SIGKILL.
     * @param retryShare retries allowed for each request, over all processes.
     * @param retrySlack retries allowed besides, over all processes and one window.
     * @param loadWindowMillis the window in which loads from the weight store are counted.
     * @param loadExcess how far over the rate they may go in one window, as a factor.
     */
    public record Bounds(
            long drainMillis,
            long graceMillis,
            double retryShare,
            double retrySlack,
            long loadWindowMillis,
            double loadExcess) {}
}
