package io.waxwingquay.forward;

/** What became of late tries at one replica: how many failed, how long answers took, and for how long it is passed over. */
final class AttemptHistory {

    /** Over how long failures are remembered: a few requests' time, so that a mended replica is soon used again. */
    private static final double FAILURE_HALF_LIFE_MILLIS = 2_500.0;

    /** Weight of the newest answer in the smoothed time to answer. */
    private static final double ANSWER_SMOOTHING = 0.15;

    /** How fast it is forgotten that a replica was slow. */
    private static final double ANSWER_HALF_LIFE_MILLIS = 2_000.0;

    /** Pause after the first failed connect; doubled up to the longest. */
    private static final long FIRST_PAUSE_MILLIS = 300L;

    private static final long MAX_PAUSE_MILLIS = 2_400L;

    /** How long a replica that said it was full is passed over. */
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

    /** A connect that failed says more than a failed request: nothing is there, or the way to it is cut. */
    void unreachable(long nowMillis) {
        failed(nowMillis);
        pausedUntilMillis = nowMillis + nextPauseMillis;
        nextPauseMillis = Math.min(MAX_PAUSE_MILLIS, nextPauseMillis * 2);
    }

    boolean isPaused(long nowMillis) {
        return nowMillis < pausedUntilMillis;
    }

    /** The share of late tries that failed, drawn towards none while there are few. */
    double failureShare(long nowMillis) {
        return failures.value(nowMillis) / (attempts.value(nowMillis) + 1.0);
    }

    /** The usual time to an answer; 0 before the first. */
    double answerMillis() {
        return answerMillis;
    }

    /** The usual time to an answer, fading while none comes, so that one that was slow is tried again. */
    double recentAnswerMillis(long nowMillis) {
        return answerMillis * Math.pow(0.5, (nowMillis - answeredAtMillis) / ANSWER_HALF_LIFE_MILLIS);
    }
}
