package io.waxwingquay.residency;

import io.waxwingquay.peer.NewsPace;
import java.util.Optional;
import java.util.Set;

/**
 * Decides when the process beside an engine tells whom. What the plan of copies and the choice of an engine turn on is
 * told to all at once when it changes, said once more soon, and then now and then. How busy the engine is changes all
 * the time and is told to the entries that use it.
 */
final class NewsRounds {

    /**
     * A change is said once more after this. Failure: a datagram is lost. Symptom: a process plans, or sends requests,
     * by what an engine held before, until the next telling. Two in a row are rarely lost, and that one still comes.
     */
    static final long REPEAT_MILLIS = 200L;

    /** The pause between two tellings of the load, for each entry that is told. */
    private static final long USER_MILLIS = 25L;

    private static final long LEAST_USERS_MILLIS = 200L;

    private Optional<Matter> toldAll = Optional.empty();
    private Optional<Matter> toldUsers = Optional.empty();
    private long toldAllMillis;
    private long toldUsersMillis;
    private boolean isToBeRepeated;

    /**
     * What to send now; taken to be sent.
     *
     * @param matter what there is to tell.
     * @param receivers how many processes there are to tell.
     * @param users how many entries have requests in the engine.
     * @param nowMillis the steady time.
     */
    Round next(Matter matter, int receivers, int users, long nowMillis) {
        long sinceAllMillis = nowMillis - toldAllMillis;
        boolean isChanged = toldAll.map(told -> told.isChangedTo(matter)).orElse(true);
        if (isChanged
                || isToBeRepeated && sinceAllMillis >= REPEAT_MILLIS
                || sinceAllMillis >= NewsPace.periodMillis(receivers)) {
            isToBeRepeated = isChanged;
            toldAll = Optional.of(matter);
            toldAllMillis = nowMillis;
            toldUsers = toldAll;
            toldUsersMillis = nowMillis;
            return Round.WHOLE_TO_ALL;
        }
        boolean isSoon = nowMillis - toldUsersMillis < Math.max(LEAST_USERS_MILLIS, users * USER_MILLIS);
        if (users == 0 || isSoon || toldUsers.equals(Optional.of(matter))) {
            return Round.NOTHING;
        }
        boolean isLoadOnly =
                toldUsers.map(told -> told.adapters().equals(matter.adapters())).orElse(false);
        toldUsers = Optional.of(matter);
        toldUsersMillis = nowMillis;
        return isLoadOnly ? Round.LOAD_TO_USERS : Round.WHOLE_TO_USERS;
    }

    /** What is sent to whom. */
    enum Round {
        /** Nothing is due. */
        NOTHING,
        /** How busy the engine is, to entries with requests in it. */
        LOAD_TO_USERS,
        /** All, to entries with requests in it. */
        WHOLE_TO_USERS,
        /** All, to all entries and to the processes beside the other engines. */
        WHOLE_TO_ALL
    }

    /**
     * What there is to tell of an engine.
     *
     * @param models what it holds.
     * @param near what lies at hand.
     * @param coming what is brought in.
     * @param storeLoads loads from the weight store that began lately.
     * @param draining whether it leaves.
     * @param configuration the newest version that entries have.
     * @param adapters what it holds of adapters.
     * @param load requests in it.
     */
    record Matter(
            Set<String> models,
            Set<String> near,
            Optional<String> coming,
            int storeLoads,
            boolean draining,
            long configuration,
            Set<String> adapters,
            int load) {

        /** Loads that lapse from their window can be told with the next telling: who has not heard waits too long. */
        private boolean isChangedTo(Matter newer) {
            return !models.equals(newer.models)
                    || !near.equals(newer.near)
                    || !coming.equals(newer.coming)
                    || newer.storeLoads > storeLoads
                    || draining != newer.draining
                    || configuration != newer.configuration;
        }
    }
}
