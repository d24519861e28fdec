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
 * Registers the attempts that this side has received in this epoch, by ID. Safe for concurrent use.
 *
 * <p>When an attempt of a non-idempotent call expires, its hash is kept. Without it, a request resent hours later
 * would find no attempt, be told that the call did not run, and run it a second time. With the hash, the answer is
 * "unknown". Once hashes have been dropped as well, every absent attempt is unknown.
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

    /** Finds the attempt of a submission, or registers a new queued one. */
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

    /** Returns the outcome of an attempt. If asked to withdraw, first prevents the attempt from starting. */
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

    /** Removes attempts that ended, and withdrawals made, longer ago than the retention period. */
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

    /** The result of a registration. */
    enum Outcome {
        /** The attempt is new and queued. */
        NEW,
        /** The attempt was registered before. */
        ATTACHED,
        /** The attempt was withdrawn and may never start. */
        WITHDRAWN,
        /** The attempt was registered before and may have run, but its outcome is no longer retained. */
        EXPIRED,
        /** The registry is full. */
        FULL
    }

    /**
     * The result of a registration with its attempt.
     *
     * @param outcome the result.
     * @param attempt the attempt; empty if the submission was not registered.
     */
    record Registration(Outcome outcome, Optional<Attempt> attempt) {}
}
