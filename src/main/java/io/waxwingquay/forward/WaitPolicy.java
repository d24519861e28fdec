package io.waxwingquay.forward;

import io.waxwingquay.manifest.Route;

/** How long a request waits before something else is done with it. Pure: it looks at durations alone. */
final class WaitPolicy {

    /** The part of its remaining time that a request may wait for a model that is being loaded. */
    private static final double MODEL_WAIT_SHARE = 0.4;

    /**
     * The part of its time that a request may wait here for room. Engines' own queues stay short, so those that come
     * when there is room are in time; the others are late, which their callers like better than a refusal.
     */
    private static final double ROOM_WAIT_SHARE = 0.2;

    /** Where what is late already stands among those that wait: as if it had this left. */
    private static final long LATE_SLACK_MILLIS = 1_000L;

    /** Places come free unevenly; one that is expected later than this allows for would often come too late. */
    private static final double SLOT_VARIANCE_FACTOR = 1.3;

    /**
     * Callers give a stream up, also before its first event, after a silence of this, of so many times its objective or
     * of so many times the pause that is aimed at, whichever is longest. The platform's protocol says so.
     */
    private static final long MIN_CALLER_TIMEOUT_MILLIS = 2_000L;

    private static final long CALLER_TIMEOUT_OBJECTIVES = 4L;
    private static final long CALLER_TIMEOUT_PAUSES = 8L;

    /** What a first event takes once the request has been sent; also the time in which an answer reaches a caller. */
    private static final long FIRST_EVENT_MILLIS = 200L;

    /** A broken stream that can't go on within this has been given up by its caller, which waits two seconds. */
    private static final long RESUME_TIMEOUT_MILLIS = 1_500L;

    /** A stream's silence after which another replica takes over: well above any pause of a sound one. */
    private static final long STREAM_STALL_MILLIS = 900L;

    /** The least wait for a stream's first event, which may have to queue in its engine. */
    private static final long MIN_FIRST_EVENT_TIMEOUT_MILLIS = 1_200L;

    /** An answer that takes this many times what was aimed at, or is usual at its replica, will hardly come. */
    private static final double OVERDUE_FACTOR = 3.0;

    private WaitPolicy() {}

    /** A caller that would leave before its first event is told at once when to come back. */
    static boolean mayWaitForModel(Route route, long waitedMillis, long readyMillis, long remainingMillis) {
        return readyMillis < remainingMillis * MODEL_WAIT_SHARE && waitedMillis + readyMillis < maxWaitMillis(route);
    }

    static boolean mayWaitForRoom(Route route, long waitedMillis, long timeoutMillis) {
        return waitedMillis < Math.min(timeoutMillis * ROOM_WAIT_SHARE, maxWaitMillis(route));
    }

    /**
     * Whether a request that finds no room is queued for it.
     *
     * @param waitedMillis how long it has waited.
     * @param expectedWaitMillis how long until its place is expected.
     * @param timeoutMillis all of its time.
     */
    static boolean mayEnqueue(Route route, long waitedMillis, long expectedWaitMillis, long timeoutMillis) {
        return mayWaitForRoom(
                route, waitedMillis + Math.round(SLOT_VARIANCE_FACTOR * expectedWaitMillis), timeoutMillis);
    }

    /**
     * Which of those that wait comes first: the least. What is late already comes after those that can still be in time
     * soon, and before those that can wait for long, so that no urgent route fares worse than a relaxed one.
     */
    static long slackMillis(Route route, long waitedMillis) {
        long remainingMillis = route.objectiveMillis() - waitedMillis;
        return remainingMillis >= 0 ? remainingMillis : LATE_SLACK_MILLIS;
    }

    private static long maxWaitMillis(Route route) {
        if (route.kind() != Route.Kind.STREAM) {
            return Long.MAX_VALUE;
        }
        long byObjectives = Math.max(
                CALLER_TIMEOUT_OBJECTIVES * route.objectiveMillis(), CALLER_TIMEOUT_PAUSES * route.pauseMillis());
        return Math.max(MIN_CALLER_TIMEOUT_MILLIS, byObjectives) - FIRST_EVENT_MILLIS;
    }

    /**
     * Whether a request's caller is still there when its answer begins.
     *
     * <p>Failure: a stream that waited for room is sent just before its caller leaves, to an engine that has stopped and does
     * not count as silent yet. Symptom: the engine runs it for nobody when it wakes. A stream that is sent only with time for
     * its first event is given up, if the engine is not heard, before its caller leaves.
     *
     * @param callerIdleMillis how long the caller has had nothing new.
     * @param usualAnswerMillis what a first event usually takes at the replica; 0 if it is not known.
     */
    static boolean callerWaitsForAnswer(Route route, long callerIdleMillis, double usualAnswerMillis) {
        return callerIdleMillis + usualAnswerMillis <= maxWaitMillis(route);
    }

    /** Whether a stream's caller, that has had nothing new for so long, is about to leave. */
    static boolean isCallerAboutToLeave(Route route, long callerIdleMillis) {
        return route.kind() == Route.Kind.STREAM && callerIdleMillis > maxWaitMillis(route);
    }

    /** Whether a broken stream may still be taken up elsewhere. */
    static boolean mayResume(long interruptedMillis) {
        return interruptedMillis <= RESUME_TIMEOUT_MILLIS;
    }

    /** Whether a stream that has begun is given up at its replica. */
    static boolean isStreamStalled(long silentMillis) {
        return silentMillis > STREAM_STALL_MILLIS;
    }

    /** Whether a request without any answer yet is given up at its replica. */
    static boolean isAnswerOverdue(Route route, long silentMillis, double usualAnswerMillis) {
        double timeoutMillis = route.kind() == Route.Kind.STREAM
                ? Math.max(MIN_FIRST_EVENT_TIMEOUT_MILLIS, OVERDUE_FACTOR * route.objectiveMillis())
                : Math.max(route.objectiveMillis(), OVERDUE_FACTOR * usualAnswerMillis);
        return silentMillis > timeoutMillis;
    }
}
