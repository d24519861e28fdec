package io.waxwingquay.forward;

import io.waxwingquay.manifest.Route;

/** Limits how long a request waits before another step is taken. Stateless: it depends on durations only. */
final class WaitPolicy {

    /** Share of its remaining time that a request may wait for a model that is loading. */
    private static final double MODEL_WAIT_SHARE = 0.4;

    /**
     * Share of its time that a request may wait here for a slot. The queues of engines stay short, so requests that
     * find a slot are in time; the others are late, which their callers prefer to a rejection.
     */
    private static final double ROOM_WAIT_SHARE = 0.2;

    /** The same for a relaxed route, whose requests wait for a slot in the order that the side process keeps. */
    private static final double RELAXED_WAIT_SHARE = 0.4;

    /** The same for a stream that its caller resumes; what is left of it takes less time than all of it. */
    private static final double RESUMED_WAIT_SHARE = 0.5;

    /** Objective above which a route is relaxed, so that its requests may wait for a slot as long as the objective. */
    private static final long RELAXED_OBJECTIVE_MILLIS = 1_000L;

    /** Slack assumed for a request that is late already. */
    private static final long LATE_SLACK_MILLIS = 1_000L;

    /**
     * Factor for the expected wait, as slots become free unevenly: a request whose slot is expected any later would
     * often get it too late.
     */
    private static final double SLOT_VARIANCE_FACTOR = 1.3;

    /**
     * Minimum silence after which callers abandon a stream, also before its first event. The platform's protocol sets
     * the timeout to the longest of this, a multiple of the objective, and a multiple of the intended pause.
     */
    private static final long MIN_CALLER_TIMEOUT_MILLIS = 2_000L;

    private static final long CALLER_TIMEOUT_OBJECTIVES = 4L;
    private static final long CALLER_TIMEOUT_PAUSES = 8L;

    /** Time from sending a request to its first event; also the time in which a response reaches a caller. */
    private static final long FIRST_EVENT_MILLIS = 200L;

    /** Time to resume an interrupted stream; its caller, which waits two seconds, has abandoned it after that. */
    private static final long RESUME_TIMEOUT_MILLIS = 1_500L;

    /** Silence of a stream after which another replica resumes it: well above any pause of a healthy one. */
    private static final long STREAM_STALL_MILLIS = 900L;

    /** Minimum wait for the first event of a stream, which may have to queue in its engine. */
    private static final long MIN_FIRST_EVENT_TIMEOUT_MILLIS = 1_200L;

    /** Multiple of the objective, or of the usual time of the replica, after which a response is unlikely to come. */
    private static final double OVERDUE_FACTOR = 3.0;

    private WaitPolicy() {}

    /**
     * Returns whether a request may wait for a model; a caller that would leave before its first event is told at once
     * when to retry.
     */
    static boolean mayWaitForModel(Route route, long waitedMillis, long readyMillis, long remainingMillis) {
        return readyMillis < remainingMillis * MODEL_WAIT_SHARE && waitedMillis + readyMillis < maxWaitMillis(route);
    }

    static boolean mayWaitForRoom(Route route, long waitedMillis, long timeoutMillis) {
        return waitedMillis < Math.min(timeoutMillis * ROOM_WAIT_SHARE, maxWaitMillis(route));
    }

    /**
     * Returns whether a request that finds no free slot is queued.
     *
     * @param waitedMillis how long it has waited.
     * @param expectedWaitMillis how long until its slot is expected.
     * @param timeoutMillis the time from its arrival to its deadline.
     */
    static boolean mayEnqueue(Route route, long waitedMillis, long expectedWaitMillis, long timeoutMillis) {
        return mayWaitForRoom(
                route, waitedMillis + Math.round(SLOT_VARIANCE_FACTOR * expectedWaitMillis), timeoutMillis);
    }

    /**
     * Returns the order of waiting requests, lowest first. A request that is late already comes after those that can
     * still be in time soon, and before those that can wait for long, so that no urgent route is served worse than a
     * relaxed one.
     */
    static long slackMillis(Route route, long waitedMillis) {
        long remainingMillis = route.objectiveMillis() - waitedMillis;
        return remainingMillis >= 0 ? remainingMillis : LATE_SLACK_MILLIS;
    }

    /**
     * Returns how much longer a request may wait for a slot that a side process grants; 0 or less if no longer. On a route
     * with a relaxed objective that is up to the objective, as the side process keeps the order among all requests.
     *
     * @param waitedMillis how long it has waited.
     * @param timeoutMillis the time from its arrival to its deadline.
     */
    static long remainingSlotWaitMillis(Route route, long waitedMillis, long timeoutMillis) {
        long limitMillis = route.objectiveMillis() > RELAXED_OBJECTIVE_MILLIS
                ? Math.max(route.objectiveMillis(), Math.round(timeoutMillis * RELAXED_WAIT_SHARE))
                : Math.round(timeoutMillis * ROOM_WAIT_SHARE);
        return Math.min(limitMillis, maxWaitMillis(route)) - waitedMillis;
    }

    /**
     * Returns how much longer a stream that its caller resumes may wait for a slot; 0 or less if no longer. It waits as
     * long as its caller does, as only some of the engines may resume it, and it is lost if none of them does.
     *
     * @param waitedMillis how long it has waited.
     * @param timeoutMillis the time from its arrival to its deadline.
     */
    static long remainingResumedWaitMillis(Route route, long waitedMillis, long timeoutMillis) {
        return Math.min(Math.round(timeoutMillis * RESUMED_WAIT_SHARE), maxWaitMillis(route)) - waitedMillis;
    }

    private static long maxWaitMillis(Route route) {
        if (route.kind() != Route.Kind.STREAM) {
            return Long.MAX_VALUE;
        }
        long byObjectives = Math.max(
                CALLER_TIMEOUT_OBJECTIVES * route.objectiveMillis(),
                CALLER_TIMEOUT_PAUSES * route.pauseObjectiveMillis());
        return Math.max(MIN_CALLER_TIMEOUT_MILLIS, byObjectives) - FIRST_EVENT_MILLIS;
    }

    /**
     * Returns whether the caller of a request still waits when the response begins.
     *
     * <p>A stream sent just before its caller leaves, to an engine that has stopped but doesn't count as
     * unresponsive yet, would be run for nobody when the engine continues. A stream that is sent with enough time for
     * its first event is given up before its caller leaves if the engine is not heard.
     *
     * @param callerIdleMillis how long the caller has received nothing new.
     * @param usualAnswerMillis the usual time to a first event at the replica; 0 if it is unknown.
     */
    static boolean callerWaitsForAnswer(Route route, long callerIdleMillis, double usualAnswerMillis) {
        return callerIdleMillis + usualAnswerMillis <= maxWaitMillis(route);
    }

    /** Returns whether the caller of a stream is about to leave, having received nothing new for this long. */
    static boolean isCallerAboutToLeave(Route route, long callerIdleMillis) {
        return route.kind() == Route.Kind.STREAM && callerIdleMillis > maxWaitMillis(route);
    }

    /** Returns whether an interrupted stream may still be resumed at another replica. */
    static boolean mayResume(long interruptedMillis) {
        return interruptedMillis <= RESUME_TIMEOUT_MILLIS;
    }

    /** Returns how much longer an interrupted stream may wait to be resumed; 0 or less if no longer. */
    static long remainingResumeMillis(long interruptedMillis) {
        return RESUME_TIMEOUT_MILLIS - interruptedMillis;
    }

    /** Returns whether a stream that has begun is given up at its replica. */
    static boolean isStreamStalled(long silentMillis) {
        return silentMillis > STREAM_STALL_MILLIS;
    }

    /** Returns whether a request without any response yet is given up at its replica. */
    static boolean isAnswerOverdue(Route route, long silentMillis, double usualAnswerMillis) {
        double timeoutMillis = route.kind() == Route.Kind.STREAM
                ? Math.max(MIN_FIRST_EVENT_TIMEOUT_MILLIS, OVERDUE_FACTOR * route.objectiveMillis())
                : Math.max(route.objectiveMillis(), OVERDUE_FACTOR * usualAnswerMillis);
        return silentMillis > timeoutMillis;
    }
}
