package io.waxwingquay.entry;

/**
 * What every request carries besides its content.
 *
 * @param requestId its identity through entry, side and target.
 * @param arrivedAtMillis when it came, by the monotonic clock.
 * @param deadlineAtMillis when its answer is worthless, by the monotonic clock.
 */
public record CallContext(String requestId, long arrivedAtMillis, long deadlineAtMillis) {}
