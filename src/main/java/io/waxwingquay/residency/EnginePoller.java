package io.waxwingquay.residency;

import io.waxwingquay.common.CallbackGuard;
import io.waxwingquay.common.Delayer;
import io.waxwingquay.fleet.EngineReport;

/** Polls the state of one engine, with one poll in flight at most. Not thread-safe: everything runs on the event loop. */
final class EnginePoller {

    private final EngineControl control;
    private final Delayer timer;
    private final Listener listener;
    private boolean inFlight;
    private boolean again;
    private boolean outdated;
    private boolean earlyPollScheduled;

    /**
     * Creates a poller, which polls when it is told to.
     *
     * @param control polls the engine.
     * @param timer runs a task later.
     * @param listener takes the results.
     */
    EnginePoller(EngineControl control, Delayer timer, Listener listener) {
        this.control = control;
        this.timer = timer;
        this.listener = listener;
    }

    /** Polls the engine, unless a poll is in flight. */
    void poll() {
        if (inFlight) {
            return;
        }
        inFlight = true;
        control.report().whenComplete((report, failure) -> {
            inFlight = false;
            outdated = again;
            CallbackGuard.run("report of the engine", () -> notifyListener(report, failure));
            if (again) {
                again = false;
                poll();
            }
        });
    }

    private void notifyListener(EngineReport report, Throwable failure) {
        if (failure == null) {
            listener.onReport(report);
        } else {
            listener.onReportFailed(failure);
        }
    }

    /**
     * Polls the engine after a delay, unless such a poll is scheduled already.
     *
     * @param delayMillis the delay from now.
     */
    void pollEarly(long delayMillis) {
        if (earlyPollScheduled) {
            return;
        }
        earlyPollScheduled = true;
        timer.schedule(delayMillis, () -> {
            earlyPollScheduled = false;
            poll();
        });
    }

    /**
     * Polls the engine for its state from now on; the last report and that of a poll in flight are outdated.
     *
     * <p>Failure: a poll is in flight when an order is answered, and reports the state before it. Symptom: the next order
     * states a count that has passed and is refused, while a request waits for its adapter. So the engine is polled once
     * more, and nothing is ordered by the earlier report.
     */
    void pollAnew() {
        outdated = true;
        again = inFlight;
        poll();
    }

    /** Returns whether no order may be derived from the last report. */
    boolean isOutdated() {
        return outdated;
    }

    /** Takes the results of polls. */
    interface Listener {

        /**
         * Takes a report.
         *
         * @param report the report.
         */
        void onReport(EngineReport report);

        /**
         * Notes that the engine did not report.
         *
         * @param failure the cause.
         */
        void onReportFailed(Throwable failure);
    }
}
