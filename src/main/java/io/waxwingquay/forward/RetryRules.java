package io.waxwingquay.forward;

import io.waxwingquay.admission.RetryBudget;
import io.waxwingquay.manifest.Route;
import java.util.HashSet;
import java.util.Set;

/** Counts the attempts of one request, and decides whether another may follow. */
final class RetryRules {

    private static final int MAX_CONNECT_FAILURES = 4;

    private final ForwardContext context;
    private final RequestTerms terms;
    private final Route route;
    private final Set<Target> triedTargets = new HashSet<>();
    private int attempts;
    private int connectFailures;

    RetryRules(ForwardContext context, RequestTerms terms) {
        this.context = context;
        this.terms = terms;
        this.route = terms.route();
    }

    int attempts() {
        return attempts;
    }

    Set<Target> triedTargets() {
        return triedTargets;
    }

    void sent(Target target) {
        if (attempts == 0) {
            budget().recordFirstAttempt();
        }
        attempts++;
        triedTargets.add(target);
    }

    /** Takes an attempt back of which nothing was sent. */
    void notSent() {
        attempts--;
        connectFailures++;
    }

    /** Returns whether a request of which nothing was sent may be sent elsewhere, which is no retry. */
    boolean mayResendUnsent() {
        return connectFailures <= MAX_CONNECT_FAILURES;
    }

    boolean mayRetry(long nowMillis) {
        return terms.hasTimeForAttempt(nowMillis) && attempts < route.maxAttempts();
    }

    boolean tryAcquire() {
        return budget().tryAcquire();
    }

    /**
     * Returns whether another replica could take the request over. One is sought only in that case: if all replicas are
     * slow for a moment, each search would use up a retry for nothing.
     */
    boolean canRetryElsewhere(StreamProgress stream, long nowMillis) {
        return mayRetry(nowMillis)
                && budget().availableRetries() >= 1
                && mayTakeOver(chooseElsewhere(stream, nowMillis), nowMillis);
    }

    private Choice chooseElsewhere(StreamProgress stream, long nowMillis) {
        SlotYield slotYield = SlotYield.ToResumedStreams.forUnqueued(context.waitQueues());
        return terms.choose(stream, triedTargets, new SlotUse.WhereGranted(), slotYield, nowMillis);
    }

    private boolean mayTakeOver(Choice choice, long nowMillis) {
        return choice instanceof Choice.Send
                || choice instanceof Choice.Reserve reserve && terms.freeSlots(reserve.target(), nowMillis) > 0;
    }

    private RetryBudget budget() {
        return context.budget(terms.service());
    }
}
