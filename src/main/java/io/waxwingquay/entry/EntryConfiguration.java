package io.waxwingquay.entry;

/**
 * What an entry process is told at its start.
 *
 * @param host the IP number it listens on for callers.
 * @param port the port; 0 for any free one.
 * @param dataCentre its data centre.
 * @param routingPolicy the routing policy's name.
 * @param defaultDeadlineMillis the budget of a request that names none.
 * @param maximumDeadlineMillis the largest budget a request may name.
 * @param maximumBodyBytes the largest request body.
 * @param maximumOutcomeBytes the largest answer kept for resends of a non-idempotent call.
 * @param pollWaitMillis how long a side process may hold a poll.
 * @param retryShare retries allowed for each first try, 0 to 1.
 * @param maximumClaimBatchSize the most claim writes in one transaction.
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
     * Settings with every default.
     *
     * @param host the IP number it listens on.
     * @param port the port; 0 for any free one.
     * @param dataCentre its data centre.
     * @return the settings.
     */
    public static EntryConfiguration withDefaults(String host, int port, String dataCentre) {
        return new EntryConfiguration(
                host, port, dataCentre, "waxwingquay", 30_000, 600_000, 1 << 20, 64 << 10, 250, 0.1, 64);
    }
}
