package io.waxwingquay.entry;

import io.waxwingquay.admission.Backoff;
import io.waxwingquay.admission.ComeBack;
import io.waxwingquay.admission.RetryBudget;
import io.waxwingquay.common.Clock;
import io.waxwingquay.membership.Membership;
import io.waxwingquay.membership.Side;
import io.waxwingquay.routing.LoadBoard;
import io.waxwingquay.routing.RouteQuery;
import io.waxwingquay.routing.Router;
import io.waxwingquay.routing.SideIndex;
import io.waxwingquay.routing.SideView;
import io.waxwingquay.suspect.SuspectBook;
import io.waxwingquay.transport.Connections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;

/**
 * What the flows of one entry process share.
 *
 * @param configuration what the process was told.
 * @param membership the side processes known.
 * @param connections how they are reached.
 * @param loadBoard their load.
 * @param sideIndex the sides by what they hold.
 * @param router who is asked.
 * @param retryBudget how many retries are allowed.
 * @param backoff waits between tries.
 * @param retryAfterEstimator when refused callers should come back.
 * @param clock the time.
 * @param random the source of choices; safe for concurrent use.
 * @param executor runs what follows each answer, and the waits.
 * @param metrics what is counted.
 * @param suspects requests that were running when targets crashed.
 */
record EntryComponents(
        EntryConfiguration configuration,
        Membership membership,
        Connections connections,
        LoadBoard loadBoard,
        SideIndex.Latest sideIndex,
        Router router,
        RetryBudget retryBudget,
        Backoff backoff,
        ComeBack retryAfterEstimator,
        Clock clock,
        RandomGenerator random,
        ScheduledExecutorService executor,
        EntryMetrics metrics,
        Optional<SuspectBook> suspects) {

    List<SideView> candidates(RouteQuery query) {
        List<Side> eligible = router.policy().considered(query, sideIndex.of(membership.sides()));
        List<SideView> views = loadBoard.views(eligible, clock.monotonicMillis());
        return router.candidates(query, views, random);
    }

    long remainingMillis(long deadlineAtMillis) {
        return deadlineAtMillis - clock.monotonicMillis();
    }

    /**
     * Adds the time in which the requests in flight here drain at the rate measured here. Only a refusal that
     * time can mend gets it, lest a caller be invited to resend a quarantined or malformed request.
     */
    CallFailure withRetryAfter(CallFailure failure) {
        long outstandingRequests = loadBoard.totalOutstanding();
        boolean isTemporary = failure.code().httpStatus() == FailureCode.OVERLOADED.httpStatus();
        return failure.retryAfterMillis() > 0 || !isTemporary
                ? failure
                : failure.withRetryAfterMillis(
                        retryAfterEstimator.afterMillis(outstandingRequests, clock.monotonicMillis(), random));
    }

    /**
     * Refuses a request that two crashes name before it costs a hop; the side processes refuse it as well.
     */
    void refuseQuarantined(long fingerprint) {
        boolean quarantined = suspects.filter(book -> book.standing(fingerprint) == SuspectBook.Standing.QUARANTINED)
                .isPresent();
        if (quarantined) {
            throw CallFailure.rejected(
                    FailureCode.QUARANTINED, "request", "the request was running when targets crashed");
        }
    }

    CallFailure noTarget(String service) {
        CallFailure failure = CallFailure.rejected(
                FailureCode.NO_TARGET, service, "no side process of service '" + service + "' takes work now");
        return withRetryAfter(failure);
    }
}
