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
final class AttemptBook {

    private static final int FORGOTTEN_LIMIT = 200_000;

    private final Clock clock;
    private final long retentionMillis;
    private final int limit;
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final Map<String, Long> withdrawn = new HashMap<>();
    private final Set<Long> forgotten = new HashSet<>();
    private boolean forgottenOverflowed;

    AttemptBook(Clock clock, long retentionMillis, int limit) {
        this.clock = clock;
        this.retentionMillis = retentionMillis;
        this.limit = limit;
    }

    /** Finds the attempt of a submission, or takes it in as queued. */
    synchronized Taken take(Submission submission) {
        Attempt known = attempts.get(submission.getAttemptId());
        if (known != null) {
            return new Taken(Outcome.ATTACHED, Optional.of(known));
        }
        if (withdrawn.containsKey(submission.getAttemptId())) {
            return new Taken(Outcome.WITHDRAWN, Optional.empty());
        }
        if (forgotten.contains(hash(submission.getAttemptId()))) {
            return new Taken(Outcome.FORGOTTEN, Optional.empty());
        }
        if (attempts.size() + withdrawn.size() >= limit) {
            return new Taken(Outcome.FULL, Optional.empty());
        }
        Attempt attempt = new Attempt(submission, clock.monotonicMillis());
        attempts.put(attempt.id(), attempt);
        return new Taken(Outcome.NEW, Optional.of(attempt));
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
        if (withdrawn.containsKey(attemptId)) {
            return new ResolveAnswer(Execution.DID_NOT_RUN, AttemptState.CANCELLED);
        }
        if (forgottenOverflowed || forgotten.contains(hash(attemptId)) || !withdraw || !noteWithdrawn(attemptId)) {
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
    synchronized void purge() {
        long nowMillis = clock.monotonicMillis();
        List<Attempt> old = attempts.values().stream()
                .filter(attempt -> attempt.isEndedSince(retentionMillis, nowMillis))
                .toList();
        old.forEach(attempt -> attempts.remove(attempt.id()));
        old.stream().filter(Attempt::isNonIdempotent).forEach(attempt -> forget(attempt.id()));
        Stream<String> lapsed = withdrawn.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue() > retentionMillis)
                .map(Map.Entry::getKey);
        lapsed.toList().forEach(withdrawn::remove);
    }

    private boolean noteWithdrawn(String attemptId) {
        if (attempts.size() + withdrawn.size() >= limit) {
            return false;
        }
        withdrawn.put(attemptId, clock.monotonicMillis());
        return true;
    }

    private void forget(String attemptId) {
        if (forgotten.size() >= FORGOTTEN_LIMIT) {
            forgottenOverflowed = true;
            forgotten.clear();
        }
        if (!forgottenOverflowed) {
            forgotten.add(hash(attemptId));
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
        FORGOTTEN,
        /** There is no room for it. */
        FULL
    }

    /**
     * A submission taken in.
     *
     * @param outcome what became of it.
     * @param attempt the attempt, unless refused.
     */
    record Taken(Outcome outcome, Optional<Attempt> attempt) {}
}
