package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.waxwingquay.bench.CallerAnswer;
import io.waxwingquay.process.EntryProcess;
import io.waxwingquay.standin.Faults;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Steps on the availability of every model, and steps that all scenarios on a deployment share. */
public final class ReachSteps {

    private static final int WAVES = 6;
    private static final int REQUESTS_PER_WAVE = 40;
    private static final int REQUESTS_PER_MODEL = 20;

    private final DeploymentWorld world = DeploymentWorld.current();

    /** Closes the deployment and everything else that the scenario opened. */
    @After
    public void close() {
        DeploymentWorld.closeCurrent();
    }

    /** Starts a deployment and waits until it serves every model. */
    @Given("a deployment that serves every model")
    public void startDeployment() throws InterruptedException {
        world.start(builder -> builder);
    }

    /** Starts a deployment whose processes see changes of the platform's VM list with a delay. */
    @Given("a deployment whose VM list is {int} s late")
    public void startDeploymentWithLateList(int seconds) throws InterruptedException {
        world.start(builder -> builder.listLagMillis(1_000L * seconds));
    }

    /** Closes a side and its engine abruptly. */
    @When("the target {int} dies with its side")
    public void killTargetAndSide(int replica) {
        world.modelSide(replica).close();
        world.engine(replica).close();
    }

    /** Closes everything in a data centre abruptly: the first entry, a model target and the side of a plain one. */
    @When("the first data centre is lost")
    public void loseFirstDataCentre() {
        world.deployment().entries().remove(0).close();
        world.deployment().sides().get("booking-0").close();
        killTargetAndSide(0);
    }

    /** Starts an outage of the platform. */
    @When("the platform is out")
    public void failPlatform() {
        world.deployment().platform().faults().inject(Faults.Kind.OUT, Faults.UNLIMITED);
    }

    /** Sends waves of requests for one model, and checks after each wave that no last copy of a model was evicted. */
    @When("demand for one model is tenfold")
    public void sendTenfoldDemand() throws Exception {
        String model = world.models().get(0);
        world.sendSequentially(model, REQUESTS_PER_WAVE / 10);
        for (int wave = 0; wave < WAVES; wave++) {
            List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
            for (int number = 0; number < REQUESTS_PER_WAVE; number++) {
                answers.add(world.sendCompletion(number % 2, model, DeploymentWorld.TOKENS_PER_ANSWER));
            }
            for (CompletableFuture<CallerAnswer> answer : answers) {
                answer.join();
            }
            for (EntryProcess entry : world.deployment().entries()) {
                assertEquals(
                        Set.of(),
                        world.deployment().unservedModels(entry),
                        "the last copy of these models was evicted");
            }
        }
    }

    /** Kills a target, and checks that every model of it with two copies or more answers each request. */
    @When("a target dies, each model with a second home answers every request")
    public void verifySecondCopiesAnswer() throws Exception {
        EntryProcess entry = world.entry(0);
        Set<String> itemsOfLostSide = entry.membership()
                .side(DeploymentWorld.modelSideName(1))
                .orElseThrow()
                .residentItems();
        List<String> modelsWithOtherCopies = world.models().stream()
                .filter(model -> itemsOfLostSide.contains(world.itemOf(model)))
                .filter(model -> copyCount(entry, world.itemOf(model)) > 1)
                .toList();
        assertTrue(!modelsWithOtherCopies.isEmpty(), "no model of the target has a second copy");
        killTargetAndSide(1);
        for (String model : modelsWithOtherCopies) {
            world.sendSequentially(model, REQUESTS_PER_MODEL)
                    .forEach(answer -> assertTrue(answer.isWhole(), answer::toString));
        }
    }

    /** Waits until every model answers through every entry, and checks for overcommits and wrong answers. */
    @Then("every model answers through every entry")
    public void verifyEveryModel() throws Exception {
        world.awaitEveryModel();
        assertEquals(0L, world.overcommitCount());
        assertEquals(0, world.wrongAnswerCount(), "whole answers with a wrong text");
    }

    private static long copyCount(EntryProcess entry, String item) {
        return entry.membership().sides().stream()
                .filter(side -> side.residentItems().contains(item))
                .count();
    }
}
