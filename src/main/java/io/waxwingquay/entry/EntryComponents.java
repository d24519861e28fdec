package io.waxwingquay.entry;

import io.waxwingquay.admission.Backoff;
import io.waxwingquay.admission.RetryAfterEstimator;
import io.waxwingquay.admission.RetryBudget;
import io.waxwingquay.common.Clock;
import io.waxwingquay.membership.Membership;
import io.waxwingquay.membership.Side;
import io.waxwingquay.routing.LoadTracker;
import io.waxwingquay.routing.RouteQuery;
import io.waxwingquay.routing.Router;
import io.waxwingquay.routing.SideIndex;
import io.waxwingquay.routing.SideView;
import io.waxwingquay.suspect.SuspectRegistry;
import io.waxwingquay.transport.Connections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;

/**
 * Holds the components that the requests of one entry process share.
 *
 * @param configuration the configuration of the process.
 * @param membership the known side processes.
 * @param connections the connections to side processes.
 * @param loadBoard the load of the side processes.
 * @param sideIndex the side processes by resident item.
 * @param router selects the side process of a request.
 * @param retryBudget limits the number of retries.
 * @param backoff the delays between attempts.
 * @param retryAfterEstimator computes the retry-after delay of rejected callers.
 * @param clock the clock.
 * @param random the random generator; safe for concurrent use.
 * @param executor runs the continuations of answers, and delayed tasks.
 * @param metrics the metrics.
 * @param suspects the book of requests that were running when targets crashed, if any.
 */
record EntryComponents(
        EntryConfiguration configuration,
        Membership membership,
        Connections connections,
        LoadTracker loadBoard,
        SideIndex.Cache sideIndex,
        Router router,
        RetryBudget retryBudget,
        Backoff backoff,
        RetryAfterEstimator retryAfterEstimator,
        Clock clock,
        RandomGenerator random,
        ScheduledExecutorService executor,
        EntryMetrics metrics,
        Optional<SuspectRegistry> suspects) {

    List<SideView> candidates(RouteQuery query) {
        List<Side> eligible = router.policy().relevantSides(query, sideIndex.of(membership.sides()));
        List<SideView> views = loadBoard.views(eligible, clock.monotonicMillis());
        return router.candidates(query, views, random);
    }

    long remainingMillis(long deadlineAtMillis) {
        return deadlineAtMillis - clock.monotonicMillis();
    }

    /**
     * Adds a retry-after delay: the time in which the requests in flight in this process drain at the measured rate.
     * Only a temporary rejection gets it, so that callers are not told to resend a quarantined or malformed request.
     */
    CallFailure withRetryAfter(CallFailure failure) {
        long outstandingRequests = loadBoard.totalOutstanding();
        boolean isTemporary = failure.code().httpStatus() == FailureCode.OVERLOADED.httpStatus();
        return failure.retryAfterMillis() > 0 || !isTemporary
                ? failure
                : failure.withRetryAfterMillis(
                        retryAfterEstimator.delayMillis(outstandingRequests, clock.monotonicMillis(), random));
    }

    /**
     * Rejects a request that is a suspect in two crashes, which saves a hop. The side processes reject it as well.
     */
    void refuseQuarantined(long fingerprint) {
        boolean quarantined = suspects.filter(
                        book -> book.standing(fingerprint) == SuspectRegistry.Standing.QUARANTINED)
                .isPresent();
        if (quarantined) {
            throw CallFailure.rejected(
                    FailureCode.QUARANTINED, "request", "the request was running when targets crashed");
        }
    }

    CallFailure noTarget(String service) {
        CallFailure failure = CallFailure.rejected(
                FailureCode.NO_TARGET, service, "no side process of service '" + service + "' accepts work now");
        return withRetryAfter(failure);
    }
}
