package io.waxwingquay.reservation;

import java.util.Optional;

/** A request that waits for a slot. The order is that of age, the oldest first, then of arrival. */
final class WaitingRequest implements Comparable<WaitingRequest> {

    private final SlotRequest request;
    private final long sequence;
    private final long callerSinceMillis;
    private long deadlineMillis;
    private long repeatedMillis;
    private long expectedAtMillis;

    WaitingRequest(SlotRequest request, long sequence, long nowMillis) {
        this.request = request;
        this.sequence = sequence;
        this.callerSinceMillis = nowMillis - request.ageMillis();
        this.deadlineMillis = nowMillis + request.maxWaitMillis();
        this.repeatedMillis = nowMillis;
        this.expectedAtMillis = nowMillis;
    }

    SlotRequest request() {
        return request;
    }

    SlotRequest.Key key() {
        return request.key();
    }

    Rank rank() {
        return request.rank();
    }

    Optional<String> account() {
        return request.account();
    }

    /** Takes the times of a repeated request. A late one can't extend the wait. */
    void repeat(SlotRequest repeated, long nowMillis) {
        deadlineMillis = Math.min(deadlineMillis, nowMillis + repeated.maxWaitMillis());
        repeatedMillis = nowMillis;
    }

    /** Returns how long ago the request was last received. */
    long silentMillis(long nowMillis) {
        return nowMillis - repeatedMillis;
    }

    /** Returns how much longer the request can wait; negative if its time is over. */
    long remainingMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }

    /** Returns how long its caller has waited since the first attempt. */
    long ageMillis(long nowMillis) {
        return nowMillis - callerSinceMillis;
    }

    /** Sets the expected wait. */
    void expect(long waitMillis, long nowMillis) {
        expectedAtMillis = nowMillis + waitMillis;
    }

    /** Returns the expected wait by the last estimate. */
    long expectedWaitMillis(long nowMillis) {
        return Math.max(0, expectedAtMillis - nowMillis);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(WaitingRequest other) {
        int byAge = Long.compare(callerSinceMillis, other.callerSinceMillis);
        return byAge != 0 ? byAge : Long.compare(sequence, other.sequence);
    }

    /** {@inheritDoc} */
    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return Long.hashCode(sequence);
    }
}
