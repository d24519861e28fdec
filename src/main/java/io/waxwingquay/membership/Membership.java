package io.waxwingquay.membership;

import io.waxwingquay.transport.generated.SideRecord;
import java.util.List;
import java.util.Optional;

/**
 * The view that this process has of all side processes.
 */
public interface Membership {

    /**
     * Returns all sides that are known and not GONE, ordered by name.
     *
     * @return an immutable snapshot.
     */
    List<Side> sides();

    /**
     * Finds one side.
     *
     * @param sideId the side's name.
     * @return the side, or empty if it is not known.
     */
    Optional<Side> side(String sideId);

    /**
     * Publishes this side's own record to the other processes. Used by side processes only, which raise the version
     * themselves.
     *
     * @param record the record.
     */
    void publish(SideRecord record);

    /**
     * Notes that a side is leaving. No stale list or rumour reverts this within the epoch.
     *
     * @param sideId the side's name.
     * @param epoch the epoch that is leaving.
     */
    void noteLeaving(String sideId, long epoch);

    /**
     * Notes whether a call reached a side, so that routing avoids unresponsive sides.
     *
     * @param sideId the side's name.
     * @param epoch the epoch that was called.
     * @param reached whether it answered.
     */
    void noteReached(String sideId, long epoch, boolean reached);
}
