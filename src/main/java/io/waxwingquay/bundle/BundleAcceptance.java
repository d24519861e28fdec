package io.waxwingquay.bundle;

import io.waxwingquay.store.PlatformException;
import io.waxwingquay.store.TableService;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * Puts a signed bundle in force: verifies it, stores its document and then accepts it by one compare-and-set on the
 * table row.
 */
public final class BundleAcceptance {

    private static final int COMMIT_ATTEMPTS = 3;

    private final BundleArchive archive;
    private final TrustedKeys rootKeys;

    /**
     * Creates an acceptance.
     *
     * @param archive the archive of accepted bundles.
     * @param roots the operators' root keys.
     */
    public BundleAcceptance(BundleArchive archive, TrustedKeys roots) {
        this.archive = archive;
        this.rootKeys = roots;
    }

    /**
     * Submits a bundle for acceptance.
     *
     * @param bundle the signed bundle.
     * @return the outcome; the future never fails.
     */
    public CompletableFuture<Outcome> submit(SignedBundle bundle) {
        return archive.current()
                .thenCompose(current -> verifyAndCommit(bundle, current))
                .exceptionally(BundleAcceptance::failedBeforeCommit);
    }

    private CompletableFuture<Outcome> verifyAndCommit(
            SignedBundle bundle, Optional<BundleArchive.CurrentRow> current) {
        if (isInForce(bundle, current)) {
            return alreadyInForce(bundle);
        }
        long versionInForce = versionOf(current);
        if (bundle.version() != versionInForce + 1) {
            return refusedVersion(bundle, versionInForce);
        }
        return trustedKeys(current).thenCompose(keys -> {
            BundleChain.Verified verified = BundleChain.verify(keys, List.of(bundle));
            if (verified.keysAfter().isEmpty()) {
                throw new BundleException.Untrusted("this bundle leaves no key that may sign the next one");
            }
            return archive.store(bundle).thenCompose(stored -> commit(CommitAttempt.first(verified, current)));
        });
    }

    private CompletableFuture<TrustedKeys> trustedKeys(Optional<BundleArchive.CurrentRow> current) {
        if (current.isEmpty()) {
            return CompletableFuture.completedFuture(rootKeys);
        }
        BundleRow row = current.get().row();
        return archive.fetchKeyChanges(row, 0)
                .thenCombine(
                        archive.fetch(row), (keyChanges, last) -> Stream.concat(keyChanges.stream(), Stream.of(last))
                                .toList())
                .thenApply(chain -> BundleChain.verify(rootKeys, chain).keysAfter());
    }

    private CompletableFuture<Outcome> commit(CommitAttempt attempt) {
        return archive.accept(attempt.row(), attempt.expectedRowVersion(), attempt.changesKeys())
                .handle((committed, failure) -> failure == null
                        ? committed ? accepted(attempt) : readBack(attempt)
                        : afterCommitFailure(attempt, failure))
                .thenCompose(next -> next);
    }

    private CompletableFuture<Outcome> afterCommitFailure(CommitAttempt attempt, Throwable failure) {
        boolean refused = BundleArchive.unwrap(failure).getCause() instanceof PlatformException.Refused;
        if (refused && !attempt.mayHaveCommitted()) {
            return CompletableFuture.completedFuture(failedBeforeCommit(failure));
        }
        return readBack(attempt.withAnswerLost());
    }

    // The answer to a commit can be lost after the write took effect. If that were reported as a failure, the operator
    // would submit again and be refused, or believe that the old bundle is in force. Reading the row back shows which
    // bundle was accepted. An unchanged row proves nothing, since the write may still take effect; retrying the commit
    // with the same expected row version is safe, since at most one of the two can match.
    private CompletableFuture<Outcome> readBack(CommitAttempt attempt) {
        return archive.current()
                .thenCompose(current -> outcomeFromRow(attempt, current))
                .exceptionally(failure -> unknown(attempt, "the table did not answer"));
    }

    private CompletableFuture<Outcome> outcomeFromRow(
            CommitAttempt attempt, Optional<BundleArchive.CurrentRow> current) {
        long versionInForce = versionOf(current);
        long version = attempt.row().version();
        if (versionInForce == version) {
            boolean isOwn = current.get().row().hash().equals(attempt.row().hash());
            return isOwn ? accepted(attempt) : refusedForOther(attempt, current);
        }
        if (versionInForce > version && !attempt.mayHaveCommitted()) {
            return refusedForOther(attempt, current);
        }
        // A commit without an answer may have put this bundle in force before a higher version replaced it.
        if (versionInForce > version || attempt.number() >= COMMIT_ATTEMPTS) {
            return CompletableFuture.completedFuture(unknown(attempt, "version " + versionInForce + " is in force"));
        }
        return commit(attempt.next());
    }

    private static CompletableFuture<Outcome> accepted(CommitAttempt attempt) {
        long version = attempt.row().version();
        BundleChart.State state = nextState(BundleChart.State.STORED, BundleChart.Event.ACCEPT);
        return CompletableFuture.completedFuture(
                new Outcome(Verdict.ACCEPTED, state, version, "bundle " + version + " is accepted"));
    }

    private static CompletableFuture<Outcome> refusedForOther(
            CommitAttempt attempt, Optional<BundleArchive.CurrentRow> current) {
        BundleRow row = current.orElseThrow().row();
        String message =
                "another bundle was accepted instead of " + attempt.row().version() + ": version " + row.version()
                        + " signed by key " + row.keyId() + " is in force; rebase on it and submit the next version";
        BundleChart.State state = nextState(BundleChart.State.STORED, BundleChart.Event.REFUSE);
        return CompletableFuture.completedFuture(new Outcome(Verdict.REFUSED, state, row.version(), message));
    }

    private static Outcome unknown(CommitAttempt attempt, String cause) {
        long version = attempt.row().version();
        String message = "whether bundle " + version + " was accepted is unknown: " + cause + "; ask 'bundle status'";
        return new Outcome(Verdict.UNKNOWN, BundleChart.State.STORED, version - 1, message);
    }

    private static Outcome failedBeforeCommit(Throwable failure) {
        Throwable cause = BundleArchive.unwrap(failure);
        String message = "nothing was accepted: " + cause.getMessage();
        return cause instanceof BundleException.Unreachable
                ? new Outcome(Verdict.NOT_REACHED, BundleChart.State.SIGNED, 0, message)
                : new Outcome(
                        Verdict.REFUSED, nextState(BundleChart.State.SIGNED, BundleChart.Event.REFUSE), 0, message);
    }

    private static CompletableFuture<Outcome> refusedVersion(SignedBundle bundle, long versionInForce) {
        String message = "version " + bundle.version() + " is not the next; version " + versionInForce
                + " is in force, so write version = " + (versionInForce + 1);
        BundleChart.State state = nextState(BundleChart.State.SIGNED, BundleChart.Event.REFUSE);
        return CompletableFuture.completedFuture(new Outcome(Verdict.REFUSED, state, versionInForce, message));
    }

    private static CompletableFuture<Outcome> alreadyInForce(SignedBundle bundle) {
        String message = "bundle " + bundle.version() + " is already in force";
        return CompletableFuture.completedFuture(
                new Outcome(Verdict.ACCEPTED, BundleChart.State.ACCEPTED, bundle.version(), message));
    }

    private static BundleChart.State nextState(BundleChart.State state, BundleChart.Event event) {
        return BundleChart.CHART.next(state, event).orElse(state);
    }

    private static boolean isInForce(SignedBundle bundle, Optional<BundleArchive.CurrentRow> current) {
        return current.filter(found -> found.row().version() == bundle.version())
                .filter(found -> found.row().hash().equals(bundle.hash()))
                .isPresent();
    }

    private static long versionOf(Optional<BundleArchive.CurrentRow> current) {
        return current.map(found -> found.row().version()).orElse(0L);
    }

    /** The result of a submission. */
    public enum Verdict {
        /** The bundle is in force. */
        ACCEPTED,
        /** The bundle was refused and never takes effect. */
        REFUSED,
        /** The platform could not be reached before the commit, so nothing changed. */
        NOT_REACHED,
        /** The commit may or may not have taken effect. */
        UNKNOWN
    }

    /**
     * The outcome that is reported to the operator.
     *
     * @param verdict the result of the submission.
     * @param state the state of the bundle after the submission, as far as it is known.
     * @param versionInForce the version last read as in force, or 0 if none was.
     * @param message a sentence for the operator.
     */
    public record Outcome(Verdict verdict, BundleChart.State state, long versionInForce, String message) {}

    /** An attempt to commit a row. After one whose answer was lost, the bundle may have been accepted already. */
    private record CommitAttempt(
            BundleRow row, long expectedRowVersion, boolean changesKeys, int number, boolean mayHaveCommitted) {

        static CommitAttempt first(BundleChain.Verified verified, Optional<BundleArchive.CurrentRow> current) {
            Stream<Long> earlierVersions = current.stream().flatMap(found -> found.row().keyVersions().stream());
            Stream<Long> ownVersion =
                    verified.changesKeys() ? Stream.of(verified.bundle().version()) : Stream.empty();
            List<Long> keyVersions = Stream.concat(earlierVersions, ownVersion).toList();
            long expectedRowVersion =
                    current.map(BundleArchive.CurrentRow::rowVersion).orElse(TableService.ABSENT);
            return new CommitAttempt(
                    BundleRow.of(verified.signed(), keyVersions), expectedRowVersion, verified.changesKeys(), 1, false);
        }

        CommitAttempt next() {
            return new CommitAttempt(row, expectedRowVersion, changesKeys, number + 1, mayHaveCommitted);
        }

        CommitAttempt withAnswerLost() {
            return new CommitAttempt(row, expectedRowVersion, changesKeys, number, true);
        }
    }
}
