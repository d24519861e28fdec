package io.waxwingquay.bundle;

import io.waxwingquay.store.PlatformException;
import io.waxwingquay.store.TableService;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * Accepts signed bundles: verifies a bundle, stores its document and then changes the table row to name it, by one
 * compare-and-set transaction. For a bundle that changes the operator keys, the same transaction writes a second row.
 * An accepted bundle is in force once processes have adopted it.
 */
public final class BundleAcceptance {

    /**
     * Maximum number of commits while the table row stays unchanged. If the last one does not take effect either, the
     * outcome is {@link Verdict#UNKNOWN}.
     */
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

    // Reads the row back after a commit that conflicted or failed. The answer to a commit can be lost after the write
    // took effect. If that were reported as a failure, the operator might submit a changed bundle of the same version
    // and be refused, or believe that the old bundle is in force. The row shows which bundle was accepted. After a
    // failure, an unchanged row proves nothing, since the write may still take effect; retrying the commit with the
    // same expected row version is safe, since at most one of the two can match.
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
        // A commit without an answer may have accepted this bundle before a higher version replaced it.
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
        /** The bundle was accepted, by this submission or an earlier one. */
        ACCEPTED,
        /** The submission was refused and did not change which bundle is in force. */
        REFUSED,
        /**
         * A call to the platform failed before the first commit, the platform refused a commit and no earlier one may
         * have taken effect, or a document is missing from the object store. The submission did not change which bundle
         * is in force; its document may already be stored.
         */
        NOT_REACHED,
        /** The commit may or may not have taken effect. */
        UNKNOWN
    }

    /**
     * The outcome that is reported to the operator.
     *
     * @param verdict the result of the submission.
     * @param state the state of the bundle after the submission, as far as it is known.
     * @param versionInForce for an accepted bundle, its own version; for one that was refused for its version or
     *     because another was accepted, the version read from the table row, or 0 if there was no row; for an unknown
     *     outcome, the version before its own; otherwise 0.
     * @param message a sentence for the operator.
     */
    public record Outcome(Verdict verdict, BundleChart.State state, long versionInForce, String message) {}

    /** An attempt to commit a row. If an earlier answer was lost, the bundle may have been accepted already. */
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
