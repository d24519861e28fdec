package io.waxwingquay.hosted;

import io.waxwingquay.account.QuotaTolerance;
import io.waxwingquay.common.HostPort;
import java.util.List;
import java.util.Optional;

/**
 * The settings of a process: its VM, the addresses it uses, and the limits of the deployment.
 *
 * @param vmName the name of the VM.
 * @param dataCentre the data centre of the VM.
 * @param host the IP address of the VM.
 * @param peerPort the port for datagrams between processes of this system; the same on every VM.
 * @param adminPort the port for metrics, the state dump and table copies; the same on every VM.
 * @param callerAddress the address that accepts requests from callers, on VMs that accept them.
 * @param readinessAddress the address of the platform's readiness check, on the same VMs.
 * @param engineAddress the address of the engine beside this process, on VMs that have one.
 * @param service the service that this engine belongs to.
 * @param storeAddress the address of the platform's store.
 * @param firstStart whether the whole system starts for the first time, so that no process has an earlier incarnation.
 * @param seedHosts the IP addresses of a few VMs that may run an entry; some may be gone.
 * @param bounds the limits that the deployment sets for its processes.
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
     * The limits that the deployment sets for its processes.
     *
     * @param drainMillis the time within which a replica that reports draining must no longer receive new work.
     * @param graceMillis the time between SIGTERM and SIGKILL.
     * @param retryBudgetRatio the number of retries allowed per request, over all processes.
     * @param retryBudgetSlack the number of retries allowed in addition, over all processes and one window.
     * @param loadWindowMillis the window in which loads from the weight store are counted.
     * @param loadBurstFactor the factor by which loads in one window may exceed the permitted rate.
     * @param quotaTolerance how far all entries together may exceed the quota of a client account.
     * @param linkBytesPerSecond the bandwidth of the VM's link.
     */
    public record Bounds(
            long drainMillis,
            long graceMillis,
            double retryBudgetRatio,
            double retryBudgetSlack,
            long loadWindowMillis,
            double loadBurstFactor,
            QuotaTolerance quotaTolerance,
            double linkBytesPerSecond) {}
}
