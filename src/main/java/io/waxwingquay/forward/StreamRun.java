package io.waxwingquay.forward;

import java.util.OptionalLong;

/**
 * One run of a stream at a replica, and where it stands against the events that the caller has. A run that is to go on
 * after an event may begin before it, at a replica that ignores that, and then repeats what the caller has.
 */
final class StreamRun {

    private final OptionalLong resumedAfter;
    private OptionalLong position = OptionalLong.empty();
    private boolean hasPassed;

    /**
     * Creates a run that has no part yet.
     *
     * @param resumedAfter the id of the last event that the caller has.
     */
    StreamRun(OptionalLong resumedAfter) {
        this.resumedAfter = resumedAfter;
        this.hasPassed = resumedAfter.isEmpty();
    }

    /**
     * Notes where the run stands after a part, and returns whether the caller has that part already. Ids are compared until the run has passed the last
     * event that the caller has; what follows is new, whatever its ids are.
     */
    boolean noteRepeated(StreamPart part) {
        if (hasPassed) {
            return false;
        }
        if (part.id().isPresent()) {
            position = part.id();
        }
        if (position.isEmpty() || position.getAsLong() > resumedAfter.getAsLong()) {
            hasPassed = position.isPresent();
            return false;
        }
        hasPassed = position.getAsLong() == resumedAfter.getAsLong();
        return true;
    }

    /** Returns whether the run, if it ended now, would end before the last event that the caller has. */
    boolean isBehind() {
        return !hasPassed && position.isPresent();
    }
}
