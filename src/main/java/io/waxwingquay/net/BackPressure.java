package io.waxwingquay.net;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Keeps the output that waits for slow callers within a budget.
 *
 * <p>While more than half of the budget is held, each output that grows has the source of the longest one paused. A
 * source is paused only for so long, as its sender would give the response up; then, or above the whole budget, the
 * output whose caller reads slowest is cut off.
 */
final class BackPressure {

    /** The longest pause of a source; engines cut off a response that is unread for some seconds. */
    static final long MAX_PAUSE_MILLIS = 2_000L;

    /** Interval at which paused sources are checked. */
    private static final long CHECK_MILLIS = 50L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.net");

    private final BufferBudget budget;
    private final LongSupplier clock;
    private final Timer timer;
    private final Set<Output> waiting = new LinkedHashSet<>();
    private final Map<Output, Long> pausedAtMillis = new LinkedHashMap<>();
    private boolean checkScheduled;

    /**
     * Creates back-pressure without an output.
     *
     * @param budget the budget that the outputs count toward, among others.
     * @param clock the monotonic time in milliseconds.
     * @param timer runs the checks of paused sources.
     */
    BackPressure(BufferBudget budget, LongSupplier clock, Timer timer) {
        this.budget = budget;
        this.clock = clock;
        this.timer = timer;
    }

    /** Notes that more of an output waits for its caller. */
    void grew(Output output) {
        waiting.add(output);
        makeRoom(0);
        if (budget.isOverHalf()) {
            pauseLongest();
        }
    }

    /** Notes that nothing of an output waits any more: its caller has read it, or is gone. */
    void ended(Output output) {
        waiting.remove(output);
        resume(output);
    }

    /** Resumes the source of an output if it is paused. */
    void resume(Output output) {
        if (pausedAtMillis.remove(output) != null) {
            output.resumeSource();
        }
    }

    /**
     * Cuts the outputs of the slowest callers off until further bytes fit; none if they would not fit all the same.
     *
     * @param bytes the number of further bytes.
     * @return whether they fit.
     */
    boolean makeRoom(long bytes) {
        if (budget.hasRoomFor(bytes)) {
            return true;
        }
        long waitingBytes = waiting.stream().mapToLong(Output::heldBytes).sum();
        if (!budget.hasRoomFor(bytes - waitingBytes)) {
            return false;
        }
        while (!budget.hasRoomFor(bytes) && !waiting.isEmpty()) {
            cutOffSlowest();
        }
        return budget.hasRoomFor(bytes);
    }

    private void pauseLongest() {
        Optional<Output> longest = waiting.stream()
                .filter(output -> output.hasSource() && !pausedAtMillis.containsKey(output))
                .max(Comparator.comparingLong(Output::unsentBytes));
        longest.ifPresent(output -> {
            pausedAtMillis.put(output, clock.getAsLong());
            output.pauseSource();
            checkLater();
        });
    }

    private void cutOffSlowest() {
        long nowMillis = clock.getAsLong();
        waiting.stream()
                .min(Comparator.comparingDouble(output -> output.bytesPerMilli(nowMillis)))
                .ifPresent(this::cutOff);
    }

    private void cutOff(Output output) {
        LOG.log(
                System.Logger.Level.INFO,
                "net: response cut off, its caller reads too slowly unsent_bytes={0} held_bytes={1}",
                Long.toString(output.unsentBytes()),
                Long.toString(budget.heldBytes()));
        waiting.remove(output);
        pausedAtMillis.remove(output);
        output.cutOff();
    }

    private void checkLater() {
        if (!checkScheduled) {
            checkScheduled = true;
            timer.schedule(CHECK_MILLIS, () -> {
                checkScheduled = false;
                check();
            });
        }
    }

    private void check() {
        long nowMillis = clock.getAsLong();
        for (Output output : List.copyOf(pausedAtMillis.keySet())) {
            if (!budget.isOverHalf()) {
                resume(output);
            } else if (isOverdue(output, nowMillis)) {
                cutOffSlowest();
                resume(output);
            }
        }
        if (!pausedAtMillis.isEmpty()) {
            checkLater();
        }
    }

    private boolean isOverdue(Output output, long nowMillis) {
        Long sinceMillis = pausedAtMillis.get(output);
        return sinceMillis != null && nowMillis - sinceMillis >= MAX_PAUSE_MILLIS;
    }

    /** Runs a task later. */
    @FunctionalInterface
    interface Timer {

        /** Runs a task after a delay. */
        void schedule(long delayMillis, Runnable task);
    }

    /** The output of one connection, which waits for its caller to read it. */
    interface Output {

        /** Returns how many bytes the caller has not accepted yet. */
        long unsentBytes();

        /** Returns how many bytes are held for them. */
        long heldBytes();

        /** Returns how fast the caller has read lately. */
        double bytesPerMilli(long nowMillis);

        /** Returns whether more of the output may come from a source that can be paused. */
        boolean hasSource();

        void pauseSource();

        void resumeSource();

        /** Closes the connection at once and gives back what is held, so that the response does not look complete. */
        void cutOff();
    }
}
