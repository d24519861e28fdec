package io.waxwingquay.entry;

/**
 * Holds the configuration of an entry process.
 *
 * @param host the IP address on which it listens for callers.
 * @param port the port; 0 for any free port.
 * @param dataCentre its data centre.
 * @param routingPolicy the name of the routing policy.
 * @param defaultDeadlineMillis the time to the deadline of a request that names none.
 * @param maximumDeadlineMillis the longest time to the deadline that a request may name.
 * @param maximumBodyBytes the maximum size of a request body.
 * @param maximumOutcomeBytes the maximum size of an answer that is kept for resends of a non-idempotent call.
 * @param pollWaitMillis how long a side process may hold a poll.
 * @param retryShare the number of retries allowed per first attempt, 0 to 1.
 * @param maximumClaimBatchSize the maximum number of claim writes in one transaction.
 */
public record EntryConfiguration(
        String host,
        int port,
        String dataCentre,
        String routingPolicy,
        long defaultDeadlineMillis,
        long maximumDeadlineMillis,
        int maximumBodyBytes,
        int maximumOutcomeBytes,
        long pollWaitMillis,
        double retryShare,
        int maximumClaimBatchSize) {

    /**
     * Creates a configuration with default values.
     *
     * @param host the IP address on which the process listens.
     * @param port the port; 0 for any free port.
     * @param dataCentre its data centre.
     * @return the configuration.
     */
    public static EntryConfiguration withDefaults(String host, int port, String dataCentre) {
        return new EntryConfiguration(
                host, port, dataCentre, "waxwingquay", 30_000, 600_000, 1 << 20, 64 << 10, 250, 0.1, 64);
    }
}
