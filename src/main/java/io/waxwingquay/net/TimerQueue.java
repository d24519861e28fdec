package io.waxwingquay.net;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.eclipse.jetty.util.thread.Scheduler;

/** A queue of tasks ordered by monotonic due time; tasks due at the same time run in the order of their addition. */
final class TimerQueue {

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long nextSequence;

    Timer add(long dueMillis, Runnable task) {
        Timer timer = new Timer(dueMillis, nextSequence++, task);
        timers.add(timer);
        return timer;
    }

    /** Removes and returns the tasks that are due. */
    List<Runnable> removeDue(long nowMillis) {
        List<Runnable> tasks = new ArrayList<>();
        while (!timers.isEmpty() && timers.peek().dueMillis <= nowMillis) {
            Timer timer = timers.poll();
            tasks.add(timer::run);
        }
        return tasks;
    }

    /** Returns the delay until the next task is due, or {@link Long#MAX_VALUE} if there is none. */
    long waitMillis(long nowMillis) {
        while (!timers.isEmpty() && timers.peek().cancelled) {
            timers.poll();
        }
        return timers.isEmpty() ? Long.MAX_VALUE : Math.max(0, timers.peek().dueMillis - nowMillis);
    }

    /** A scheduled task. */
    static final class Timer implements Comparable<Timer>, Scheduler.Task {

        private final long dueMillis;
        private final long sequence;
        private final Runnable task;
        private boolean cancelled;

        private Timer(long dueMillis, long order, Runnable task) {
            this.dueMillis = dueMillis;
            this.sequence = order;
            this.task = task;
        }

        /** {@inheritDoc} */
        @Override
        public boolean cancel() {
            boolean first = !cancelled;
            cancelled = true;
            return first;
        }

        /** {@inheritDoc} */
        @Override
        public int compareTo(Timer other) {
            int byTime = Long.compare(dueMillis, other.dueMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
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

        private void run() {
            if (!cancelled) {
                task.run();
            }
        }
    }
}
