package io.waxwingquay.entry;

/**
 * Holds the id and the times of a request.
 *
 * @param requestId the request id, the same in entry, side and target.
 * @param arrivedAtMillis when it arrived, by the monotonic clock.
 * @param deadlineAtMillis its deadline, by the monotonic clock.
 */
public record CallContext(String requestId, long arrivedAtMillis, long deadlineAtMillis) {}
