package io.waxwingquay.reservation;

import io.waxwingquay.reservation.SlotDecision.Reason;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/** Decides which requests get the slots of one engine. Not thread-safe: everything runs on the event loop. */
public interface SlotBook {

    /**
     * Sets the number of requests that the engine runs at once.
     *
     * @param slots the number of slots.
     */
    void configure(int slots);

    /**
     * Requests a slot, or repeats the request with the times brought up to date.
     *
     * @param request the request.
     * @return the answers that are due now, to this request and others.
     */
    List<SlotAnswer> submit(SlotRequest request);

    /**
     * Cancels a request for a slot, returns the slot, or frees the booked retry time of a denied request. Ignored if the
     * request is not known.
     *
     * @param key the request.
     */
    void cancel(SlotRequest.Key key);

    /**
     * Takes a fresh report of the engine.
     *
     * @param occupancy what the report tells.
     * @return the answers that are due now.
     */
    List<SlotAnswer> observe(EngineOccupancy occupancy);

    /**
     * Denies all waiting requests, as the engine was lost.
     *
     * @return the denials.
     */
    List<SlotAnswer> engineLost();

    /**
     * Returns the answers that are due by time alone.
     *
     * @return the answers.
     */
    List<SlotAnswer> advance();

    /**
     * Returns the requests in the engine and the granted slots that its report does not show yet.
     *
     * @return the load.
     */
    int load();

    /**
     * Returns whether any request waits for a slot.
     *
     * @return whether the engine should be polled often.
     */
    boolean hasWaiting();

    /** Never grants a slot; for sides whose entries do not request any. */
    final class Disabled implements SlotBook {

        /** {@inheritDoc} */
        @Override
        public void configure(int slots) {}

        /** {@inheritDoc} */
        @Override
        public List<SlotAnswer> submit(SlotRequest request) {
            return List.of();
        }

        /** {@inheritDoc} */
        @Override
        public void cancel(SlotRequest.Key key) {}

        /** {@inheritDoc} */
        @Override
        public List<SlotAnswer> observe(EngineOccupancy occupancy) {
            return List.of();
        }

        /** {@inheritDoc} */
        @Override
        public List<SlotAnswer> engineLost() {
            return List.of();
        }

        /** {@inheritDoc} */
        @Override
        public List<SlotAnswer> advance() {
            return List.of();
        }

        /** {@inheritDoc} */
        @Override
        public int load() {
            return 0;
        }

        /** {@inheritDoc} */
        @Override
        public boolean hasWaiting() {
            return false;
        }
    }

    /** Grants slots by rank, account and age, and denies at once what can't be served in its time. */
    final class Default implements SlotBook {

        /** Bounds the memory and the time for a decision; a few seconds' worth of requests of 320 entries. */
        static final int MAX_WAITING = 2_000;

        /** A waiting request is repeated every 60 ms, so after so long without one its entry is gone. */
        static final long SILENT_MILLIS = 250L;

        private static final System.Logger LOG = System.getLogger("waxwingquay.reservation");

        private final LongSupplier clock;
        private final RetryTimes retryTimes;
        private final WaitingRequests queue = new WaitingRequests();
        private final RecentAnswers recent = new RecentAnswers();
        private final SlotPool pool;

        /**
         * Creates a book without requests, for an engine that has not reported yet.
         *
         * @param pacer spaces the prompts.
         * @param adapters has adapters loaded.
         * @param clock the monotonic time in milliseconds.
         * @param random spreads the retries of denied callers.
         */
        public Default(PromptPacer pacer, AdapterGate adapters, LongSupplier clock, RandomGenerator random) {
            this.clock = clock;
            this.retryTimes = new RetryTimes(random);
            this.pool = new SlotPool(queue, pacer, adapters);
        }

        /** {@inheritDoc} */
        @Override
        public void configure(int slots) {
            pool.configure(slots);
        }

        /** {@inheritDoc} */
        @Override
        public List<SlotAnswer> submit(SlotRequest request) {
            long nowMillis = clock.getAsLong();
            Optional<WaitingRequest> waiting = queue.find(request.key());
            if (waiting.isPresent()) {
                waiting.get().repeat(request, nowMillis);
                return List.of(queued(waiting.get(), nowMillis));
            }
            Optional<RecentAnswers.End> end = recent.find(request.key(), nowMillis);
            if (end.isPresent()) {
                return repeated(request, end.get(), nowMillis);
            }
            return pool.isGranted(request, nowMillis) ? List.of(granted(request)) : submitNew(request, nowMillis);
        }

        private static List<SlotAnswer> repeated(SlotRequest request, RecentAnswers.End end, long nowMillis) {
            return end.repeated(nowMillis).stream()
                    .map(decision -> answer(request, decision))
                    .toList();
        }

        private List<SlotAnswer> submitNew(SlotRequest request, long nowMillis) {
            Optional<Reason> refusal = pool.refusal(request, nowMillis);
            if (refusal.isPresent()) {
                return List.of(deny(request, refusal.get(), 0, nowMillis));
            }
            pool.requested(request, nowMillis);
            WaitingRequest waiting = queue.add(request, nowMillis);
            List<SlotAnswer> answers = grantFree(nowMillis);
            if (queue.size() > MAX_WAITING) {
                answers.add(denyLast(nowMillis));
            }
            if (queue.contains(request.key())) {
                answers.add(queueOrDeny(waiting, nowMillis));
            }
            return answers;
        }

        private SlotAnswer denyLast(long nowMillis) {
            WaitingRequest last = queue.last();
            last.expect(pool.expectedWaitMillis(last, queue.size() - 1, nowMillis), nowMillis);
            return deny(last, nowMillis);
        }

        private SlotAnswer queueOrDeny(WaitingRequest waiting, long nowMillis) {
            if (!pool.isKnown()) {
                return queued(waiting, nowMillis);
            }
            int ahead = queue.ahead(waiting, pool.shares());
            long expectedMillis = pool.expectedWaitMillis(waiting, ahead, nowMillis);
            waiting.expect(expectedMillis, nowMillis);
            if (expectedMillis > waiting.remainingMillis(nowMillis)) {
                return deny(waiting, nowMillis);
            }
            LOG.log(
                    System.Logger.Level.DEBUG,
                    "reservation: queued attempt={0} load={1} rank={2} wait_ms={3}",
                    waiting.request().attemptId(),
                    pool.load(nowMillis),
                    waiting.rank(),
                    expectedMillis);
            return queued(waiting, nowMillis);
        }

        /** {@inheritDoc} */
        @Override
        public void cancel(SlotRequest.Key key) {
            long nowMillis = clock.getAsLong();
            queue.remove(key);
            pool.release(key);
            recent.find(key, nowMillis).flatMap(RecentAnswers.End::retry).ifPresent(retryTimes::release);
            recent.cancelled(key, nowMillis);
        }

        /** {@inheritDoc} */
        @Override
        public List<SlotAnswer> observe(EngineOccupancy report) {
            long nowMillis = clock.getAsLong();
            List<SlotAnswer> answers = new ArrayList<>();
            if (pool.isRestarted(report)) {
                answers.addAll(denyAll(nowMillis));
            }
            boolean isServingAsBefore = pool.isServingAsBefore(report);
            pool.observe(report, nowMillis).forEach(started -> recent.started(started.key(), nowMillis));
            if (!isServingAsBefore) {
                answers.addAll(denyRefused(nowMillis));
            }
            answers.addAll(grantFree(nowMillis));
            return answers;
        }

        /** {@inheritDoc} */
        @Override
        public List<SlotAnswer> engineLost() {
            pool.engineLost();
            return denyAll(clock.getAsLong());
        }

        private List<SlotAnswer> denyAll(long nowMillis) {
            return queue.snapshot().stream()
                    .map(waiting -> deny(waiting.request(), Reason.LEAVING, 0, nowMillis))
                    .toList();
        }

        /** {@inheritDoc} */
        @Override
        public List<SlotAnswer> advance() {
            long nowMillis = clock.getAsLong();
            removeSilent(nowMillis);
            List<SlotAnswer> answers = new ArrayList<>(denyRefused(nowMillis));
            answers.addAll(grantFree(nowMillis));
            answers.addAll(denyExpectedTooLate(nowMillis));
            return answers;
        }

        private void removeSilent(long nowMillis) {
            queue.snapshot().stream()
                    .filter(waiting -> waiting.silentMillis(nowMillis) >= SILENT_MILLIS)
                    .forEach(waiting -> queue.remove(waiting.key()));
        }

        private List<SlotAnswer> denyRefused(long nowMillis) {
            return queue.snapshot().stream()
                    .map(WaitingRequest::request)
                    .flatMap(request -> pool.refusal(request, nowMillis).stream()
                            .map(reason -> deny(request, reason, 0, nowMillis)))
                    .toList();
        }

        /** Denies the requests that are no longer expected to get a slot in their time. */
        private List<SlotAnswer> denyExpectedTooLate(long nowMillis) {
            List<SlotAnswer> denials = new ArrayList<>();
            int ahead = 0;
            for (WaitingRequest waiting : queue.inOrder(pool.shares())) {
                if (isExpectedTooLate(waiting, ahead, nowMillis)) {
                    denials.add(deny(waiting, nowMillis));
                } else {
                    ahead++;
                }
            }
            return denials;
        }

        /** An estimate that is wrong by half the usual time between two free slots ends no wait that has begun. */
        private boolean isExpectedTooLate(WaitingRequest waiting, int ahead, long nowMillis) {
            long remainingMillis = waiting.remainingMillis(nowMillis);
            if (remainingMillis <= 0 || !pool.isKnown()) {
                return remainingMillis <= 0;
            }
            long expectedMillis = pool.expectedWaitMillis(waiting, ahead, nowMillis);
            waiting.expect(expectedMillis, nowMillis);
            return expectedMillis - pool.intervalMillis(nowMillis) / 2 > remainingMillis;
        }

        private List<SlotAnswer> grantFree(long nowMillis) {
            List<SlotAnswer> answers = new ArrayList<>();
            pool.grantFree(nowMillis).forEach(request -> answers.add(granted(request)));
            return answers;
        }

        private SlotAnswer deny(WaitingRequest waiting, long nowMillis) {
            long expectedMillis = waiting.expectedWaitMillis(nowMillis);
            return deny(waiting.request(), pool.delayedBy(waiting, nowMillis), expectedMillis, nowMillis);
        }

        private SlotAnswer deny(SlotRequest request, Reason reason, long expectedMillis, long nowMillis) {
            queue.remove(request.key());
            RetryTimes.Retry retry = reason == Reason.LEAVING || reason == Reason.MODEL
                    ? retryTimes.unbooked(request.rank())
                    : retryTimes.book(
                            request.rank(), pool.perMilli(request.rank(), nowMillis), expectedMillis, nowMillis);
            SlotDecision.Denied denied = new SlotDecision.Denied(retry.delayMillis(), reason);
            recent.denied(request.key(), denied, retry, nowMillis);
            LOG.log(
                    System.Logger.Level.INFO,
                    "reservation: denied attempt={0} reason={1} load={2} rank={3} wait_ms={4} retry_ms={5}",
                    request.attemptId(),
                    reason,
                    pool.load(nowMillis),
                    request.rank(),
                    expectedMillis,
                    retry.delayMillis());
            return answer(request, denied);
        }

        private static SlotAnswer granted(SlotRequest request) {
            return answer(request, new SlotDecision.Granted());
        }

        private static SlotAnswer queued(WaitingRequest waiting, long nowMillis) {
            return answer(waiting.request(), new SlotDecision.Queued(waiting.expectedWaitMillis(nowMillis)));
        }

        private static SlotAnswer answer(SlotRequest request, SlotDecision decision) {
            return new SlotAnswer(request.key(), request.attemptId(), decision);
        }

        /** {@inheritDoc} */
        @Override
        public int load() {
            return pool.load(clock.getAsLong());
        }

        /** {@inheritDoc} */
        @Override
        public boolean hasWaiting() {
            return !queue.isEmpty();
        }
    }
}
