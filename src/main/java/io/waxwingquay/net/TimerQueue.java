package io.waxwingquay.net;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.eclipse.jetty.util.thread.Scheduler;

/** Tasks to come, by the steady clock; those due at the same time run in the order in which they were added. */
final class TimerQueue {

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long nextSequence;

    Timer add(long dueMillis, Runnable task) {
        Timer timer = new Timer(dueMillis, nextSequence++, task);
        timers.add(timer);
        return timer;
    }

    /** Takes out what is due. */
    List<Runnable> removeDue(long nowMillis) {
        List<Runnable> tasks = new ArrayList<>();
        while (!timers.isEmpty() && timers.peek().dueMillis <= nowMillis) {
            Timer timer = timers.poll();
            tasks.add(timer::run);
        }
        return tasks;
    }

    /** How long until the next one is due; the largest number if there is none. */
    long waitMillis(long nowMillis) {
        while (!timers.isEmpty() && timers.peek().cancelled) {
            timers.poll();
        }
        return timers.isEmpty() ? Long.MAX_VALUE : Math.max(0, timers.peek().dueMillis - nowMillis);
    }

    /** One task to come. */
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
