package io.waxwingquay.forward;

/**
 * What one incarnation of a replica has announced in its own answers. It holds for as long as the incarnation lives,
 * whatever the platform's list or the process beside an engine states.
 */
final class ReplicaAnnouncements {

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private boolean leaving;

    /**
     * Notes that an answer announced that the replica is about to leave.
     *
     * @param replica the id of the replica, for logs.
     */
    void leaving(String replica) {
        if (!leaving) {
            leaving = true;
            LOG.log(System.Logger.Level.INFO, "forward: replica leaves id={0} told_by=answer", replica);
        }
    }

    boolean isLeaving() {
        return leaving;
    }
}
