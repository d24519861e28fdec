package io.waxwingquay.reservation;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers how requests ended, so that a datagram that arrives late or twice is answered the same way and does not
 * request another slot.
 */
final class RecentAnswers {

    /** Longer than a datagram is on its way, including the time that a frozen process leaves it in its socket buffer. */
    static final long RETENTION_MILLIS = 2_000L;

    /** Bounds the memory; twice the number of requests that may wait. */
    static final int MAX_SIZE = 4_096;

    private final Map<SlotRequest.Key, End> ends = new LinkedHashMap<>();

    /** Records that a granted request runs. */
    void started(SlotRequest.Key key, long nowMillis) {
        put(key, new End(Optional.of(new SlotDecision.Granted()), Optional.empty(), nowMillis));
    }

    /** Records a denial. */
    void denied(SlotRequest.Key key, SlotDecision.Denied decision, RetryTimes.Retry retry, long nowMillis) {
        put(key, new End(Optional.of(decision), Optional.of(retry), nowMillis));
    }

    /** Records that the entry no longer needs a slot. */
    void cancelled(SlotRequest.Key key, long nowMillis) {
        put(key, new End(Optional.empty(), Optional.empty(), nowMillis));
    }

    /** Returns how a request ended; empty if that is not known. */
    Optional<End> find(SlotRequest.Key key, long nowMillis) {
        return Optional.ofNullable(ends.get(key)).filter(end -> !end.isOld(nowMillis));
    }

    /** Returns the number of requests that are remembered. */
    int size() {
        return ends.size();
    }

    private void put(SlotRequest.Key key, End end) {
        ends.remove(key);
        ends.put(key, end);
        Iterator<End> oldestFirst = ends.values().iterator();
        while (oldestFirst.next().isOld(end.sinceMillis) || ends.size() > MAX_SIZE) {
            oldestFirst.remove();
        }
    }

    /**
     * How a request ended.
     *
     * @param decision what it was answered; empty if it was cancelled.
     * @param retry the retry time of a denied request.
     * @param sinceMillis the time of its end.
     */
    record End(Optional<SlotDecision> decision, Optional<RetryTimes.Retry> retry, long sinceMillis) {

        private boolean isOld(long nowMillis) {
            return nowMillis - sinceMillis >= RETENTION_MILLIS;
        }

        /** Returns the answer to a repeated request; empty if it needs none. */
        Optional<SlotDecision> repeated(long nowMillis) {
            return decision.map(each -> each instanceof SlotDecision.Denied denied
                    ? new SlotDecision.Denied(
                            Math.max(0, denied.retryAfterMillis() - (nowMillis - sinceMillis)), denied.reason())
                    : each);
        }
    }
}
