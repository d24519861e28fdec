package io.waxwingquay.standin;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Runs the stand-ins' steps at their due time.
 */
public interface StandinTimer {

    /** Real time, on a few threads shared by all stand-ins of this process. */
    StandinTimer SYSTEM = new ForSystem();

    /**
     * The time.
     *
     * @return microseconds since an arbitrary origin.
     */
    long nowMicros();

    /**
     * Runs a step later.
     *
     * @param delayMicros how much later.
     * @param step the step, which must be short.
     */
    void schedule(long delayMicros, Runnable step);

    /** Real time. */
    final class ForSystem implements StandinTimer {

        private static final System.Logger LOG = System.getLogger("waxwingquay.standin");
        private static final int THREADS = Math.max(4, Runtime.getRuntime().availableProcessors() / 2);

        private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(THREADS, task -> {
            Thread thread = new Thread(task, "standin-timer");
            thread.setDaemon(true);
            return thread;
        });

        private ForSystem() {}

        /** {@inheritDoc} */
        @Override
        public long nowMicros() {
            return System.nanoTime() / 1_000L;
        }

        /** {@inheritDoc} */
        @Override
        public void schedule(long delayMicros, Runnable step) {
            executor.schedule(() -> runLogged(step), delayMicros, TimeUnit.MICROSECONDS);
        }

        private static void runLogged(Runnable step) {
            try {
                step.run();
            } catch (RuntimeException failure) {
                LOG.log(System.Logger.Level.ERROR, "standin: a step failed.", failure);
            }
        }
    }

    /** Time that a test moves by hand. */
    final class Manual implements StandinTimer {

        private final PriorityQueue<Due> steps =
                new PriorityQueue<>(Comparator.comparingLong(Due::atMicros).thenComparingLong(Due::order));
        private long nowMicros;
        private long order;

        /** {@inheritDoc} */
        @Override
        public synchronized long nowMicros() {
            return nowMicros;
        }

        /** {@inheritDoc} */
        @Override
        public synchronized void schedule(long delayMicros, Runnable step) {
            steps.add(new Due(nowMicros + Math.max(0, delayMicros), order++, step));
        }

        /**
         * Moves the time on and runs every step that falls due, in order.
         *
         * @param micros how far.
         */
        public void advance(long micros) {
            long untilMicros = nowMicros() + micros;
            for (Due due = next(untilMicros); due != null; due = next(untilMicros)) {
                due.step().run();
            }
        }

        private synchronized Due next(long untilMicros) {
            Due due = steps.peek();
            if (due == null || due.atMicros() > untilMicros) {
                nowMicros = untilMicros;
                return null;
            }
            nowMicros = due.atMicros();
            return steps.poll();
        }

        private record Due(long atMicros, long order, Runnable step) {}
    }
}
