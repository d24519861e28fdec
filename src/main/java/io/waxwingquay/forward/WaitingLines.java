package io.waxwingquay.forward;

import java.util.HashMap;
import java.util.Map;

/**
 * How many requests wait here for the same places. Answers the load of a model that is asked for more than its few copies
 * can run: what is not expected to get a place while its caller is there is refused at once, and the others are looked at
 * in order until the first finds no place.
 */
final class WaitingLines {

    /** A line that had no place is not looked at again within this; one look of all that wait takes less. */
    private static final long FULL_MILLIS = 10L;

    private final Map<String, Line> lines = new HashMap<>();

    /** How many wait in a line. */
    int size(String name) {
        Line line = lines.get(name);
        return line == null ? 0 : line.waiting;
    }

    void joined(String name) {
        line(name).waiting++;
    }

    void left(String name) {
        Line line = line(name);
        line.waiting--;
        if (line.waiting == 0) {
            lines.remove(name);
        }
    }

    /** One of a line has found no place. */
    void foundFull(String name, long nowMillis) {
        Line line = lines.get(name);
        if (line != null) {
            line.fullUntilMillis = nowMillis + FULL_MILLIS;
        }
    }

    /** Whether one before in the line has just found no place. */
    boolean isFull(String name, long nowMillis) {
        Line line = lines.get(name);
        return line != null && nowMillis < line.fullUntilMillis;
    }

    private Line line(String name) {
        return lines.computeIfAbsent(name, key -> new Line());
    }

    private static final class Line {

        private int waiting;
        private long fullUntilMillis = Long.MIN_VALUE;
    }
}
