package io.waxwingquay.bundle;

import io.waxwingquay.platform.TableService;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * Takes a signed bundle into force: verified, stored, then accepted by one compare-and-set on the table row.
 */
public final class BundleAcceptance {

    private static final int COMMIT_ATTEMPTS = 3;

    private final BundleArchive archive;
    private final TrustedKeys roots;

    /**
     * An acceptance.
     *
     * @param archive where accepted bundles are kept.
     * @param roots the operator's root keys.
     */
    public BundleAcceptance(BundleArchive archive, TrustedKeys roots) {
        this.archive = archive;
        this.roots = roots;
    }

    /**
     * Submits a bundle.
     *
     * @param bundle the signed bundle.
     * @return what became of it; never fails.
     */
    public CompletableFuture<Outcome> submit(SignedBundle bundle) {
        return archive.current()
                .thenCompose(current -> check(bundle, current))
                .exceptionally(BundleAcceptance::beforeCommit);
    }

    private CompletableFuture<Outcome> check(SignedBundle bundle, Optional<BundleArchive.Current> current) {
        if (isSame(bundle, current)) {
            return done(Verdict.ACCEPTED, current, "bundle " + bundle.version() + " is already in force");
        }
        long inForce = versionOf(current);
        if (bundle.version() != inForce + 1) {
            return done(
                    Verdict.REFUSED,
                    current,
                    "version " + bundle.version() + " is not the next; version " + inForce
                            + " is in force, so write version = " + (inForce + 1));
        }
        return keysInForce(current).thenCompose(keys -> {
            BundleChain.Verified verified = BundleChain.verify(keys, List.of(bundle));
            if (verified.after().isEmpty()) {
                throw new BundleException.Untrusted("this bundle leaves no key that may sign the next one");
            }
            return archive.store(bundle).thenCompose(stored -> commit(Attempt.first(verified, current)));
        });
    }

    private CompletableFuture<TrustedKeys> keysInForce(Optional<BundleArchive.Current> current) {
        if (current.isEmpty()) {
            return CompletableFuture.completedFuture(roots);
        }
        BundleRow row = current.get().row();
        return archive.keyBundles(row, 0)
                .thenCombine(
                        archive.fetch(row), (keyBundles, last) -> Stream.concat(keyBundles.stream(), Stream.of(last))
                                .toList())
                .thenApply(chain -> BundleChain.verify(roots, chain).after());
    }

    private CompletableFuture<Outcome> commit(Attempt attempt) {
        return archive.accept(attempt.row(), attempt.expectedRowVersion(), attempt.changesKeys())
                .handle((committed, failure) -> failure == null
                        ? committed ? accepted(attempt) : readBack(attempt, false)
                        : readBack(attempt, true))
                .thenCompose(next -> next);
    }

    // The answer to a commit can be lost after the write, so an operator told "failed" would submit again and be
    // refused, or believe that the old bundle is in force. Reading the row back tells who won. A row that has not
    // moved proves nothing, for the write may still land; committing again with the same expected row version is
    // harmless, since at most one of the two can match.
    private CompletableFuture<Outcome> readBack(Attempt attempt, boolean mayStillLand) {
        return archive.current()
                .thenCompose(current -> judge(attempt, current, mayStillLand))
                .exceptionally(failure -> unknown(attempt, "the table did not answer"));
    }

    private CompletableFuture<Outcome> judge(
            Attempt attempt, Optional<BundleArchive.Current> current, boolean mayStillLand) {
        long inForce = versionOf(current);
        long version = attempt.row().version();
        if (inForce == version) {
            boolean won = current.get().row().hash().equals(attempt.row().hash());
            return won ? accepted(attempt) : lost(current);
        }
        if (inForce > version) {
            return mayStillLand
                    ? CompletableFuture.completedFuture(unknown(attempt, "version " + inForce + " is already in force"))
                    : lost(current);
        }
        if (attempt.number() < COMMIT_ATTEMPTS) {
            return commit(attempt.next());
        }
        return CompletableFuture.completedFuture(unknown(attempt, "version " + inForce + " is still in force"));
    }

    private static CompletableFuture<Outcome> accepted(Attempt attempt) {
        long version = attempt.row().version();
        return CompletableFuture.completedFuture(
                new Outcome(Verdict.ACCEPTED, version, "bundle " + version + " is accepted"));
    }

    private static CompletableFuture<Outcome> lost(Optional<BundleArchive.Current> current) {
        BundleRow row = current.orElseThrow().row();
        return done(
                Verdict.REFUSED,
                current,
                "another bundle won: version " + row.version() + " signed by key " + row.keyId()
                        + " is in force; rebase on it and submit the next version");
    }

    private static Outcome unknown(Attempt attempt, String cause) {
        return new Outcome(
                Verdict.UNKNOWN,
                attempt.row().version() - 1,
                "whether bundle " + attempt.row().version() + " was accepted is unknown: " + cause
                        + "; ask 'bundle status'");
    }

    private static Outcome beforeCommit(Throwable failure) {
        Throwable cause = BundleArchive.unwrapped(failure);
        Verdict verdict = cause instanceof BundleException.Unreachable ? Verdict.NOT_REACHED : Verdict.REFUSED;
        return new Outcome(verdict, 0, "nothing was accepted: " + cause.getMessage());
    }

    private static CompletableFuture<Outcome> done(
            Verdict verdict, Optional<BundleArchive.Current> current, String message) {
        return CompletableFuture.completedFuture(new Outcome(verdict, versionOf(current), message));
    }

    private static boolean isSame(SignedBundle bundle, Optional<BundleArchive.Current> current) {
        return current.filter(found -> found.row().version() == bundle.version())
                .filter(found -> found.row().hash().equals(bundle.hash()))
                .isPresent();
    }

    private static long versionOf(Optional<BundleArchive.Current> current) {
        return current.map(found -> found.row().version()).orElse(0L);
    }

    /** What became of a submission. */
    public enum Verdict {
        /** It is in force. */
        ACCEPTED,
        /** It was refused and never takes effect. */
        REFUSED,
        /** The platform was not reached before the commit, so nothing changed. */
        NOT_REACHED,
        /** The commit may or may not have taken effect. */
        UNKNOWN
    }

    /**
     * The answer to the operator.
     *
     * @param verdict what became of the submission.
     * @param versionInForce the version last seen in force, or 0 if none was.
     * @param message one sentence for the operator.
     */
    public record Outcome(Verdict verdict, long versionInForce, String message) {}

    private record Attempt(BundleRow row, long expectedRowVersion, boolean changesKeys, int number) {

        static Attempt first(BundleChain.Verified verified, Optional<BundleArchive.Current> current) {
            Stream<Long> earlier = current.stream().flatMap(found -> found.row().keyVersions().stream());
            Stream<Long> own =
                    verified.changesKeys() ? Stream.of(verified.bundle().version()) : Stream.empty();
            List<Long> keyVersions = Stream.concat(earlier, own).toList();
            long expected = current.map(BundleArchive.Current::rowVersion).orElse(TableService.ABSENT);
            return new Attempt(BundleRow.of(verified.signed(), keyVersions), expected, verified.changesKeys(), 1);
        }

        Attempt next() {
            return new Attempt(row, expectedRowVersion, changesKeys, number + 1);
        }
    }
}
