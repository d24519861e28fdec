package io.waxwingquay.forward;

/** What is to be done next with a request. */
interface Choice {

    /**
     * Send it.
     *
     * @param target where to.
     */
    record Send(Target target) implements Choice {}

    /**
     * Have its adapter loaded first.
     *
     * @param target where.
     */
    record LoadAdapter(Target target) implements Choice {}

    /**
     * No replica holds its model.
     *
     * @param readyMillis how long until one is expected to.
     */
    record ModelAbsent(long readyMillis) implements Choice {}

    /**
     * Replicas that could run it have no room.
     *
     * @param freeMillis how long until there is expected to be room.
     */
    record Full(long freeMillis) implements Choice {}

    /** It may be what ends replicas, and those that could run it run another such one. */
    record Apart() implements Choice {}

    /** No replica can be reached that could run it. */
    record Nowhere() implements Choice {}
}
