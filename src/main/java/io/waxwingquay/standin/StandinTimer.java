package io.waxwingquay.standin;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * A clock with a scheduler, on which the stand-ins run delayed tasks.
 */
public interface StandinTimer {

    /** A timer on real time, whose few threads are shared by all stand-ins of this process. */
    StandinTimer SYSTEM = new ForSystem();

    /**
     * Returns the present time.
     *
     * @return the time in microseconds since an arbitrary origin.
     */
    long nowMicros();

    /**
     * Schedules a task.
     *
     * @param delayMicros the delay.
     * @param task the task, which must be short, because it occupies a shared thread.
     */
    void schedule(long delayMicros, Runnable task);

    /** A timer on real time. */
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
        public void schedule(long delayMicros, Runnable task) {
            executor.schedule(() -> runLogged(task), delayMicros, TimeUnit.MICROSECONDS);
        }

        private static void runLogged(Runnable task) {
            try {
                task.run();
            } catch (RuntimeException failure) {
                LOG.log(System.Logger.Level.ERROR, "standin: a scheduled task failed.", failure);
            }
        }
    }

    /** A timer whose time advances only on request, for deterministic tests. */
    final class Manual implements StandinTimer {

        private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledTask::atMicros).thenComparingLong(ScheduledTask::sequenceNumber));
        private long nowMicros;
        private long nextSequenceNumber;

        /** {@inheritDoc} */
        @Override
        public synchronized long nowMicros() {
            return nowMicros;
        }

        /** {@inheritDoc} */
        @Override
        public synchronized void schedule(long delayMicros, Runnable task) {
            tasks.add(new ScheduledTask(nowMicros + Math.max(0, delayMicros), nextSequenceNumber++, task));
        }

        /**
         * Advances the time and runs every task that becomes due, in order of due time, then of scheduling.
         *
         * @param micros the time to advance by.
         */
        public void advance(long micros) {
            long untilMicros = nowMicros() + micros;
            for (ScheduledTask due = nextDue(untilMicros); due != null; due = nextDue(untilMicros)) {
                due.task().run();
            }
        }

        private synchronized ScheduledTask nextDue(long untilMicros) {
            ScheduledTask due = tasks.peek();
            if (due == null || due.atMicros() > untilMicros) {
                nowMicros = untilMicros;
                return null;
            }
            nowMicros = due.atMicros();
            return tasks.poll();
        }

        private record ScheduledTask(long atMicros, long sequenceNumber, Runnable task) {}
    }
}
