package io.waxwingquay.side;

import io.waxwingquay.common.Clock;
import io.waxwingquay.transport.generated.AttemptState;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.ResolveAnswer;
import io.waxwingquay.transport.generated.Submission;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * All attempts that this side has seen in this epoch, by id. Safe for concurrent use.
 *
 * <p>An attempt of a non-idempotent call that is no longer kept leaves its hash behind. Without it, a resend
 * hours later would find nothing, be told that the call did not run, and run it a second time. A hash says
 * "unknown" instead; once hashes had to be dropped as well, every absent attempt is unknown.
 */
final class AttemptRegistry {

    private static final int MAX_EXPIRED_HASHES = 200_000;

    private final Clock clock;
    private final long retentionMillis;
    private final int maxEntries;
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final Map<String, Long> withdrawnMillis = new HashMap<>();
    private final Set<Long> expiredHashes = new HashSet<>();
    private boolean expiredHashesOverflowed;

    AttemptRegistry(Clock clock, long retentionMillis, int maxEntries) {
        this.clock = clock;
        this.retentionMillis = retentionMillis;
        this.maxEntries = maxEntries;
    }

    /** Finds the attempt of a submission, or takes it in as queued. */
    synchronized Registration register(Submission submission) {
        Attempt known = attempts.get(submission.getAttemptId());
        if (known != null) {
            return new Registration(Outcome.ATTACHED, Optional.of(known));
        }
        if (withdrawnMillis.containsKey(submission.getAttemptId())) {
            return new Registration(Outcome.WITHDRAWN, Optional.empty());
        }
        if (expiredHashes.contains(hash(submission.getAttemptId()))) {
            return new Registration(Outcome.EXPIRED, Optional.empty());
        }
        if (attempts.size() + withdrawnMillis.size() >= maxEntries) {
            return new Registration(Outcome.FULL, Optional.empty());
        }
        Attempt attempt = new Attempt(submission, clock.monotonicMillis());
        attempts.put(attempt.id(), attempt);
        return new Registration(Outcome.NEW, Optional.of(attempt));
    }

    synchronized Optional<Attempt> find(String attemptId) {
        return Optional.ofNullable(attempts.get(attemptId));
    }

    /** Tells what became of an attempt, and first forbids its start if asked to. */
    ResolveAnswer resolve(String attemptId, boolean withdraw) {
        Optional<Attempt> attempt;
        synchronized (this) {
            attempt = find(attemptId);
            if (attempt.isEmpty()) {
                return resolveAbsent(attemptId, withdraw);
            }
        }
        if (withdraw) {
            attempt.get().withdraw(clock.monotonicMillis());
        }
        return attempt.get().resolution();
    }

    private ResolveAnswer resolveAbsent(String attemptId, boolean withdraw) {
        if (withdrawnMillis.containsKey(attemptId)) {
            return new ResolveAnswer(Execution.DID_NOT_RUN, AttemptState.CANCELLED);
        }
        if (expiredHashesOverflowed
                || expiredHashes.contains(hash(attemptId))
                || !withdraw
                || !recordWithdrawal(attemptId)) {
            return new ResolveAnswer(Execution.UNKNOWN, AttemptState.ABSENT);
        }
        return new ResolveAnswer(Execution.DID_NOT_RUN, AttemptState.CANCELLED);
    }

    synchronized List<Attempt> withState(RequestState state) {
        return attempts.values().stream()
                .filter(attempt -> attempt.state() == state)
                .toList();
    }

    synchronized List<Attempt> all() {
        return List.copyOf(attempts.values());
    }

    /** Forgets what is older than the retention. */
    synchronized void removeExpired() {
        long nowMillis = clock.monotonicMillis();
        List<Attempt> expired = attempts.values().stream()
                .filter(attempt -> attempt.isEndedFor(retentionMillis, nowMillis))
                .toList();
        expired.forEach(attempt -> attempts.remove(attempt.id()));
        expired.stream().filter(Attempt::isNonIdempotent).forEach(attempt -> recordExpired(attempt.id()));
        Stream<String> expiredWithdrawals = withdrawnMillis.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue() > retentionMillis)
                .map(Map.Entry::getKey);
        expiredWithdrawals.toList().forEach(withdrawnMillis::remove);
    }

    private boolean recordWithdrawal(String attemptId) {
        if (attempts.size() + withdrawnMillis.size() >= maxEntries) {
            return false;
        }
        withdrawnMillis.put(attemptId, clock.monotonicMillis());
        return true;
    }

    private void recordExpired(String attemptId) {
        if (expiredHashes.size() >= MAX_EXPIRED_HASHES) {
            expiredHashesOverflowed = true;
            expiredHashes.clear();
        }
        if (!expiredHashesOverflowed) {
            expiredHashes.add(hash(attemptId));
        }
    }

    private static long hash(String attemptId) {
        return org.apache.commons.codec.digest.MurmurHash3.hash128x64(Attempt.utf8(attemptId))[0];
    }

    /** What became of a submission in the book. */
    enum Outcome {
        /** It is new and queued. */
        NEW,
        /** It was there already. */
        ATTACHED,
        /** It may never start. */
        WITHDRAWN,
        /** It was here once and may have run; its outcome is no longer kept. */
        EXPIRED,
        /** There is no room for it. */
        FULL
    }

    /**
     * A submission taken in.
     *
     * @param outcome what became of it.
     * @param attempt the attempt, unless refused.
     */
    record Registration(Outcome outcome, Optional<Attempt> attempt) {}
}
