package io.waxwingquay.membership;

import io.waxwingquay.transport.generated.SideRecord;
import java.util.List;
import java.util.Optional;

/**
 * What this process knows of all side processes.
 */
public interface Membership {

    /**
     * All sides known and not gone, in order of name.
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
     * Publishes this side's own record to the others; for side processes only. The caller raises the version.
     *
     * @param record the record.
     */
    void publish(SideRecord record);

    /**
     * Notes that a side answered that it is leaving, which no older list or rumour undoes.
     *
     * @param sideId the side's name.
     * @param epoch the epoch that is leaving.
     */
    void noteLeaving(String sideId, long epoch);

    /**
     * Notes whether a call reached a side, so that routing avoids one that is silent.
     *
     * @param sideId the side's name.
     * @param epoch the epoch that was called.
     * @param reached whether it answered.
     */
    void noteReached(String sideId, long epoch, boolean reached);
}
