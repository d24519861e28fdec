package io.waxwingquay.fleet;

import java.util.Comparator;

/**
 * A version of the platform's store.
 *
 * <p>A store that is restored from an older copy counts on from the version of the copy and gives out numbers again that
 * stood for other changes before. It does so on a new timeline: numbers are comparable on the same timeline only, and
 * every version of a later timeline is newer than those of an earlier one.
 *
 * @param timeline how often the store was restored.
 * @param number the number that the store gave out on that timeline.
 */
public record StoreVersion(long timeline, long number) implements Comparable<StoreVersion> {

    /** The version of a process that has read nothing; older than any other. */
    public static final StoreVersion NONE = new StoreVersion(0, 0);

    private static final Comparator<StoreVersion> OLDEST_FIRST =
            Comparator.comparingLong(StoreVersion::timeline).thenComparingLong(StoreVersion::number);

    /** {@inheritDoc} */
    @Override
    public int compareTo(StoreVersion other) {
        return OLDEST_FIRST.compare(this, other);
    }

    /**
     * Returns whether this version is newer than another one.
     *
     * @param other the other version.
     * @return whether what was read as of the other version may be outdated.
     */
    public boolean isNewerThan(StoreVersion other) {
        return compareTo(other) > 0;
    }

    /**
     * Returns whether the store was restored between another version and this one.
     *
     * @param other an earlier version.
     * @return whether changes after the other version can't be followed up to this one.
     */
    public boolean isOnLaterTimelineThan(StoreVersion other) {
        return timeline > other.timeline;
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return timeline + "/" + number;
    }
}
