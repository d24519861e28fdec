package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.waxwingquay.bench.LocalDeployment;
import io.waxwingquay.bundle.BundleAcceptance.Outcome;
import io.waxwingquay.bundle.BundleAcceptance.Verdict;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.process.SideProcess;
import io.waxwingquay.standin.Faults;
import io.waxwingquay.testing.Await;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

/** Steps on the bundle version in force. */
public final class BundleSteps {

    private static final int MIN_ROGUE_FETCHES = 4;
    private static final long LARGER_MODEL_BYTES = 18_000L;

    private final DeploymentWorld world = DeploymentWorld.current();
    private final VersionRecorder versionRecorder = new VersionRecorder(world);
    private List<Outcome> outcomes = List.of();
    private RoguePeer roguePeer;

    /** Stops the recording before the deployment is closed. */
    @After(order = 20_000)
    public void close() {
        versionRecorder.close();
    }

    /** Starts to record the bundle version of each process. */
    @Given("each process's version is recorded")
    public void startRecording() {
        versionRecorder.start();
    }

    /** Submits two different bundles of one version concurrently. */
    @When("two operators submit different bundles of version {int} at once")
    public void submitTwoBundlesAtOnce(int version) {
        CompletableFuture<Outcome> first =
                CompletableFuture.supplyAsync(() -> submit(version, UnaryOperator.identity()));
        CompletableFuture<Outcome> second = CompletableFuture.supplyAsync(
                () -> submit(version, text -> text.replace("priority = 70", "priority = 71")));
        outcomes = List.of(first.join(), second.join());
    }

    /** Submits a bundle while the platform's answers are lost, and submits it again once they arrive. */
    @When("an operator submits version {int} and its answers are lost, then again")
    public void submitAgainAfterLostAnswers(int version) {
        Faults faults = world.deployment().platform().faults();
        faults.inject(Faults.Kind.LOSE_ANSWER, 2);
        Outcome unansweredOutcome = submit(version, UnaryOperator.identity());
        faults.inject(Faults.Kind.LOSE_ANSWER, 0);
        outcomes = List.of(unansweredOutcome, submit(version, UnaryOperator.identity()));
    }

    /** Submits a bundle that differs from the one in force by its version only. */
    @When("an operator submits version {int}")
    public void submitOnce(int version) {
        outcomes = List.of(submit(version, UnaryOperator.identity()));
    }

    /** Rolls out larger versions of every model, which do not fit into memory beside the old ones. */
    @When("an operator rolls out larger versions of every model as version {int}")
    public void rollOutLargerModels(int version) {
        outcomes = List.of(submit(version, text -> text.replace("version = \"1\"", "version = \"2\"")
                .replace("size_bytes = 14_000", "size_bytes = " + LARGER_MODEL_BYTES)));
    }

    /** Starts a peer that announces a far higher version and serves a bundle that must not be adopted. */
    @When("a peer offers {word} bundles as version {int}")
    public void startRoguePeer(String kind, int version) {
        roguePeer = world.closeAtEnd(RoguePeer.start(world, kind, version));
        roguePeer.sendUpdateToAll();
    }

    /** Waits until the rogue peer's bundle has been fetched often enough. */
    @When("its offers have been fetched")
    public void awaitRogueFetches() throws Exception {
        Await.until(() -> {
            roguePeer.sendUpdateToAll();
            return roguePeer.fetchCount() >= MIN_ROGUE_FETCHES;
        });
    }

    /** Restarts a side during the outage of the platform, either with one peer as its seed or with none. */
    @When("the side {int} is restarted and knows {word}")
    public void restartSide(int replica, String knownProcesses) {
        LocalDeployment deployment = world.deployment();
        HostPort knownPeer = world.modelSide((replica + 1) % 3).address();
        world.modelSide(replica).close();
        deployment.startSide(
                world.modelService(), replica, "nobody".equals(knownProcesses) ? List.of() : List.of(knownPeer));
    }

    /** Checks that a process that reaches neither the platform nor a peer has no bundle and is not ready. */
    @Then("the side {int} is not ready and has no bundle")
    public void verifyNotReady(int replica) {
        SideProcess side = world.modelSide(replica);
        assertFalse(side.isReady());
        assertEquals(0L, side.bundleVersion());
    }

    /** Waits until a process has taken the bundle from a reachable peer. */
    @Then("the side {int} becomes ready with version {int}")
    public void awaitReady(int replica, int version) throws Exception {
        SideProcess side = world.modelSide(replica);
        Await.until(side::isReady);
        assertEquals(version, side.bundleVersion());
    }

    /** Ends the platform's outage. */
    @When("the platform answers again")
    public void restorePlatform() {
        world.deployment().platform().faults().inject(Faults.Kind.OUT, 0);
    }

    /** Checks that one of two competing submissions was accepted and the other refused. */
    @Then("exactly one of them is accepted")
    public void verifyOneAccepted() {
        assertEquals(
                List.of(Verdict.ACCEPTED, Verdict.REFUSED),
                outcomes.stream().map(Outcome::verdict).sorted().toList());
    }

    /** Checks the verdict of the last submission. */
    @Then("the operator is told that it is accepted")
    public void verifyAccepted() {
        assertEquals(Verdict.ACCEPTED, outcomes.get(outcomes.size() - 1).verdict());
    }

    /** Waits until every process has the version in force, and checks that no recorded version ever decreased. */
    @Then("version {int} is in force in every process and no version ever went down")
    public void awaitVersionEverywhere(int version) throws Exception {
        Await.until(() -> world.bundleVersions().values().stream().allMatch(found -> found == version));
        assertEquals(List.of(), versionRecorder.processesWithDecrease());
    }

    /** Waits until every larger version is resident and answers, and checks that no engine was overcommitted. */
    @Then("every model answers in its larger version")
    public void awaitLargerModels() throws Exception {
        List<String> items =
                world.models().stream().map(model -> "model:" + model + "@2").toList();
        Await.until(() -> {
            List<String> resident = world.entry(0).membership().sides().stream()
                    .flatMap(side -> side.residentItems().stream())
                    .toList();
            return resident.containsAll(items);
        });
        world.awaitEveryModel();
        assertEquals(0L, world.overcommitCount());
    }

    private Outcome submit(long version, UnaryOperator<String> change) {
        return world.deployment().submit(DeploymentWorld.bundleDocument(version, change));
    }
}
