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

    // Two operators submit different bundles of the same version concurrently. Both read the same row, and the second
    // commits just before the first. The row's version must let exactly one commit succeed, and the refused operator
    // must learn which bundle is in force.
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

    // The table commits, but its answer is lost. If that were reported as a failure, the operator would submit again
    // and be refused. Reading the row back finds the hash of the submitted bundle.
    @Test
    void reportsAcceptedWhenTheCommitAnswerIsLost() {
        platform.commitAnswersToDrop = 1;
        assertEquals(Verdict.ACCEPTED, submit(operator.bundle(1)).verdict());
        assertEquals(1, platform.rows.get(BundleRow.CURRENT_KEY).version());
    }

    // Another bundle of the same version is accepted first, and the answer to the conflicting commit is lost. The row
    // holds the other bundle's hash, so the commit can't have taken effect: refused, not unknown.
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

    // A commit is lost before it reaches the table. The unchanged row proves nothing, so the same compare-and-set is
    // retried; if all attempts are lost, the operator must learn that the outcome is unknown.
    @Test
    void retriesLostCommitsAndThenReportsUnknown() {
        platform.commitsToDrop = 1;
        assertEquals(Verdict.ACCEPTED, submit(operator.bundle(1)).verdict());
        platform.commitsToDrop = 10;
        assertEquals(Verdict.UNKNOWN, submit(operator.bundle(2)).verdict());
    }

    // A commit takes effect and its answer is lost; before the row is read back, the next version replaces the bundle.
    // The bundle was in force for a moment, so reporting it as refused would be wrong: the outcome is unknown.
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

    // An attacker signs a bundle that adds the attacker's own key. Only a key that was trusted before may sign it.
    @Test
    void bundleThatAddsItsOwnSignerIsRefused() {
        Operator stranger = new Operator();
        Outcome outcome = submit(stranger.bundleTrusting(1, List.of(), stranger));
        assertEquals(Verdict.REFUSED, outcome.verdict());
        assertTrue(outcome.message().contains("is not trusted"), outcome.message());
        assertTrue(platform.rows.isEmpty());
    }

    // Version 1 adds a second key, and version 2 revokes the first. From then on, the signature of the first key must
    // be refused, although the submitter's settings still list it as a root key.
    @Test
    void revokedKeyIsRefusedAndItsSuccessorAccepted() {
        Operator successor = new Operator();
        submit(operator.bundleTrusting(1, List.of(), operator, successor));
        assertEquals(
                Verdict.ACCEPTED,
                submit(successor.bundleTrusting(2, List.of(operator.id()), successor))
                        .verdict());
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
