package io.waxwingquay.hosted;

import io.waxwingquay.common.HostPort;
import java.util.List;
import java.util.Optional;

/**
 * What a process is told about its VM and the deployment.
 *
 * @param vmName the VM's name.
 * @param dataCentre its data centre.
 * @param host its IP number.
 * @param peerPort the port for datagrams between our processes; the same on every VM.
 * @param adminPort the port for metrics and the state dump.
 * @param callerAddress where callers' requests are taken, on VMs that take them.
 * @param readinessAddress where the platform asks whether this process is ready, on the same VMs.
 * @param engineAddress the engine beside this process, on VMs that have one.
 * @param service the service that this engine belongs to.
 * @param storeAddress the platform's store.
 * @param firstStart whether the whole system starts for the first time, so that no process did anything before.
 * @param seedHosts IP numbers of a few VMs that may take callers' requests; some may be gone.
 * @param bounds the figures that the deployment holds its processes to.
 */
public record HostSettings(
        String vmName,
        String dataCentre,
        String host,
        int peerPort,
        int adminPort,
        Optional<HostPort> callerAddress,
        Optional<HostPort> readinessAddress,
        Optional<HostPort> engineAddress,
        Optional<String> service,
        HostPort storeAddress,
        boolean firstStart,
        List<String> seedHosts,
        Bounds bounds) {

    /**
     * The figures that the deployment holds its processes to.
     *
     * @param drainMillis how soon after it says so a leaving replica gets no new work.
     * @param graceMillis time between SIGTERM and SIGKILL.
     * @param retryBudgetRatio retries allowed for each request, over all processes.
     * @param retryBudgetSlack retries allowed besides, over all processes and one window.
     * @param loadWindowMillis the window in which loads from the weight store are counted.
     * @param loadBurstFactor how far over the rate they may go in one window, as a factor.
     */
    public record Bounds(
            long drainMillis,
            long graceMillis,
            double retryBudgetRatio,
            double retryBudgetSlack,
            long loadWindowMillis,
            double loadBurstFactor) {}
}
