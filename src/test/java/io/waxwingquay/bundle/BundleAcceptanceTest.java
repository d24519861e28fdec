package io.waxwingquay.bundle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.bundle.BundleAcceptance.Outcome;
import io.waxwingquay.bundle.BundleAcceptance.Verdict;
import java.util.List;
import org.junit.jupiter.api.Test;

class BundleAcceptanceTest {

    private final FakePlatform platform = new FakePlatform();
    private final Operator operator = new Operator();
    private final BundleAcceptance acceptance = new BundleAcceptance(platform.archive(), operator.root());

    @Test
    void acceptsTheNextVersionAndRefusesAnyOther() {
        assertEquals(Verdict.ACCEPTED, submit(operator.bundle(1)).verdict());
        Outcome skipped = submit(operator.bundle(3));
        assertEquals(Verdict.REFUSED, skipped.verdict());
        assertTrue(skipped.message().contains("write version = 2"), skipped.message());
    }

    // Two operators submit different bundles of the same version. Both read the same row; the second commits
    // while the first is about to. The row's version lets exactly one through, and the other is told who won.
    @Test
    void acceptsOneOfTwoConcurrentSubmissionsOfAVersion() {
        submit(operator.bundle(1));
        SignedBundle rival = operator.sign(Operator.document(2, "rival"));
        platform.beforeCommit = () -> {
            platform.beforeCommit = () -> {};
            assertEquals(Verdict.ACCEPTED, submit(rival).verdict());
        };
        Outcome outcome = submit(operator.sign(Operator.document(2, "slower")));
        assertEquals(Verdict.REFUSED, outcome.verdict());
        assertEquals(2, outcome.versionInForce());
        assertTrue(outcome.message().contains("version 2 signed by key " + operator.id()), outcome.message());
        assertEquals(rival.hash(), inForce().hash());
    }

    // The table commits and its answer is lost. Told "failed", the operator would submit again and be refused;
    // reading the row back finds the own hash.
    @Test
    void reportsAcceptedWhenTheCommitAnswerIsLost() {
        platform.commitAnswersToDrop = 1;
        assertEquals(Verdict.ACCEPTED, submit(operator.bundle(1)).verdict());
        assertEquals(1, platform.rows.get(BundleRow.CURRENT_KEY).version());
    }

    // A rival wins, and the answer to our own losing commit is lost. The row names the rival's hash, so ours
    // can't have taken effect: refused, not unknown.
    @Test
    void reportsRefusedWhenAnotherBundleWonAndTheAnswerIsLost() {
        SignedBundle rival = operator.sign(Operator.document(1, "rival"));
        platform.beforeCommit = () -> {
            platform.beforeCommit = () -> platform.commitAnswersToDrop = 1;
            submit(rival);
        };
        Outcome outcome = submit(operator.bundle(1));
        assertEquals(Verdict.REFUSED, outcome.verdict());
        assertEquals(rival.hash(), inForce().hash());
    }

    // The commit vanishes before the table sees it. The row has not moved, which proves nothing, so the same
    // compare-and-set goes out again; when every one is lost the operator is told that the outcome is unknown.
    @Test
    void retriesLostCommitsAndThenReportsUnknown() {
        platform.commitsToDrop = 1;
        assertEquals(Verdict.ACCEPTED, submit(operator.bundle(1)).verdict());
        platform.commitsToDrop = 10;
        assertEquals(Verdict.UNKNOWN, submit(operator.bundle(2)).verdict());
    }

    // Our commit lands and its answer is lost; before we read back, the next version replaces ours. Ours was in
    // force for a moment, so "another won" would be false: the outcome is unknown to us.
    @Test
    void reportsUnknownWhenTheAnswerIsLostAndTheBundleIsReplaced() {
        submit(operator.bundle(1));
        platform.commitAnswersToDrop = 1;
        platform.afterDroppedAnswer =
                () -> assertEquals(Verdict.ACCEPTED, submit(operator.bundle(3)).verdict());
        Outcome outcome = submit(operator.bundle(2));
        assertEquals(Verdict.UNKNOWN, outcome.verdict());
        assertEquals(3, inForce().version());
    }

    @Test
    void outcomesFollowTheStateChart() {
        assertEquals(BundleChart.State.ACCEPTED, submit(operator.bundle(1)).state());
        assertEquals(BundleChart.State.REFUSED, submit(operator.bundle(9)).state());
        platform.commitsToDrop = 10;
        assertEquals(BundleChart.State.STORED, submit(operator.bundle(2)).state());
    }

    @Test
    void reportsNotReachedDuringAnOutageBeforeTheCommit() {
        platform.outage = true;
        assertEquals(Verdict.NOT_REACHED, submit(operator.bundle(1)).verdict());
    }

    // A stranger signs a bundle that names the stranger's own key. Only a key trusted before may sign it.
    @Test
    void bundleThatAddsItsOwnSignerIsRefused() {
        Operator stranger = new Operator();
        Outcome outcome = submit(stranger.bundleTrusting(1, List.of(), stranger));
        assertEquals(Verdict.REFUSED, outcome.verdict());
        assertTrue(outcome.message().contains("is not trusted"), outcome.message());
        assertTrue(platform.rows.isEmpty());
    }

    // Key rotation: version 1 names a second key, version 2 revokes the first. From then on the first key's
    // signature is refused although the submitter's settings still list it as root.
    @Test
    void revokedKeyIsRefusedAndItsSuccessorAccepted() {
        Operator successor = new Operator();
        submit(operator.bundleTrusting(1, List.of(), operator, successor));
        assertEquals(
                Verdict.ACCEPTED,
                submit(successor.bundleTrusting(2, List.of(operator.id()), successor)).verdict());
        Outcome outcome = submit(operator.bundle(3));
        assertTrue(outcome.message().contains("is revoked"), outcome.message());
        assertEquals(Verdict.ACCEPTED, submit(successor.bundle(3)).verdict());
    }

    private Outcome submit(SignedBundle bundle) {
        return acceptance.submit(bundle).join();
    }

    private BundleRow inForce() {
        return BundleRow.parse(platform.rows.get(BundleRow.CURRENT_KEY).value());
    }
}
