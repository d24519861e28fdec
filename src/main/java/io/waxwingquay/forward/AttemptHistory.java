package io.waxwingquay.forward;

import io.waxwingquay.common.DecayingSum;

/**
 * The recent attempts at one replica: how many failed, how long responses took, and how long the replica is avoided.
 */
final class AttemptHistory {

    /** Half-life of failures: the time of a few requests, so that a recovered replica is soon used again. */
    private static final double FAILURE_HALF_LIFE_MILLIS = 2_500.0;

    /** Weight of the newest answer in the smoothed answer time. */
    private static final double ANSWER_SMOOTHING = 0.15;

    /** Half-life of the answer time, after which a replica counts as half as slow. */
    private static final double ANSWER_HALF_LIFE_MILLIS = 2_000.0;

    /** Pause after the first failed connect, doubled with each further one up to the maximum. */
    private static final long FIRST_PAUSE_MILLIS = 300L;

    private static final long MAX_PAUSE_MILLIS = 2_400L;

    /** Pause after a replica that reported that it was full. */
    private static final long FULL_PAUSE_MILLIS = 60L;

    private final DecayingSum attempts = new DecayingSum(FAILURE_HALF_LIFE_MILLIS);
    private final DecayingSum failures = new DecayingSum(FAILURE_HALF_LIFE_MILLIS);
    private double answerMillis;
    private long answeredAtMillis;
    private long pausedUntilMillis = Long.MIN_VALUE;
    private long nextPauseMillis = FIRST_PAUSE_MILLIS;

    void succeeded(long tookMillis, long nowMillis) {
        answeredAtMillis = nowMillis;
        attempts.add(1, nowMillis);
        answerMillis = answerMillis == 0 ? tookMillis : answerMillis + ANSWER_SMOOTHING * (tookMillis - answerMillis);
        nextPauseMillis = FIRST_PAUSE_MILLIS;
    }

    void failed(long nowMillis) {
        attempts.add(1, nowMillis);
        failures.add(1, nowMillis);
    }

    void full(long nowMillis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, nowMillis + FULL_PAUSE_MILLIS);
    }

    /**
     * Notes a failed connect, which tells more than a failed request: the replica is gone or the network to it is cut.
     */
    void unreachable(long nowMillis) {
        failed(nowMillis);
        pausedUntilMillis = nowMillis + nextPauseMillis;
        nextPauseMillis = Math.min(MAX_PAUSE_MILLIS, nextPauseMillis * 2);
    }

    boolean isPaused(long nowMillis) {
        return nowMillis < pausedUntilMillis;
    }

    /** Returns the share of recent attempts that failed, biased towards 0 while there are few. */
    double failureShare(long nowMillis) {
        return failures.value(nowMillis) / (attempts.value(nowMillis) + 1.0);
    }

    /** Returns the smoothed answer time; 0 before the first answer. */
    double answerMillis() {
        return answerMillis;
    }

    /**
     * Returns the smoothed answer time, which decays while there are no answers, so that a slow replica is tried again.
     */
    double recentAnswerMillis(long nowMillis) {
        return answerMillis * Math.pow(0.5, (nowMillis - answeredAtMillis) / ANSWER_HALF_LIFE_MILLIS);
    }
}
