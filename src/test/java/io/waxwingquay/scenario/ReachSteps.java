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

/** Steps on the reach of every model, and those that all scenarios on a deployment share. */
public final class ReachSteps {

    private static final int WAVES = 6;
    private static final int WAVE = 40;
    private static final int ASKS = 20;

    private final DeploymentWorld world = DeploymentWorld.current();

    /** Closes what the scenario opened. */
    @After
    public void close() {
        DeploymentWorld.end();
    }

    /** Starts a deployment. */
    @Given("a deployment that serves every model")
    public void serving() throws InterruptedException {
        world.start(choices -> choices);
    }

    /** Starts a deployment that hears from the platform late. */
    @Given("a deployment whose VM list is {int} s late")
    public void lateList(int seconds) throws InterruptedException {
        world.start(choices -> choices.listLagMillis(1_000L * seconds));
    }

    /** Ends a side and its engine at once. */
    @When("the target {int} dies with its side")
    public void dies(int replica) {
        world.studio(replica).close();
        world.engine(replica).close();
    }

    /** Ends everything in a data centre at once: the first entry, a model target and a plain one. */
    @When("the first data centre is lost")
    public void dataCentreDies() {
        world.deployment().entries().remove(0).close();
        world.deployment().sides().get("booking-0").close();
        dies(0);
    }

    /** Takes the platform out. */
    @When("the platform is out")
    public void platformOut() {
        world.deployment().platform().faults().inject(Faults.Kind.OUT, Faults.UNLIMITED);
    }

    /** Asks far more for one model than for any other, in waves. */
    @When("demand for one model is tenfold")
    public void tenfold() throws Exception {
        String model = world.models().get(0);
        world.askInTurn(model, WAVE / 10);
        for (int wave = 0; wave < WAVES; wave++) {
            List<CompletableFuture<CallerAnswer>> asked = new ArrayList<>();
            for (int number = 0; number < WAVE; number++) {
                asked.add(world.ask(number % 2, model, DeploymentWorld.TOKENS));
            }
            for (CompletableFuture<CallerAnswer> answer : asked) {
                answer.join();
            }
            for (EntryProcess entry : world.deployment().entries()) {
                assertEquals(Set.of(), world.deployment().unservedModels(entry), "evicted as the last replica");
            }
        }
    }

    /** A model with two homes answers while one of them dies. */
    @When("a target dies, each model with a second home answers every request")
    public void secondHomes() throws Exception {
        EntryProcess entry = world.entry(0);
        Set<String> doomed = entry.membership()
                .side(DeploymentWorld.studioName(1))
                .orElseThrow()
                .residentItems();
        List<String> twice = world.models().stream()
                .filter(model -> doomed.contains(world.itemOf(model)))
                .filter(model -> homes(entry, world.itemOf(model)) > 1)
                .toList();
        assertTrue(!twice.isEmpty(), "no model of the target has a second home");
        dies(1);
        for (String model : twice) {
            world.askInTurn(model, ASKS).forEach(answer -> assertTrue(answer.isWhole(), answer::toString));
        }
    }

    /** Asks for every model through every entry. */
    @Then("every model answers through every entry")
    public void everyModel() throws Exception {
        world.awaitEveryModel();
        assertEquals(0L, world.overcommits());
        assertEquals(0, world.wrong(), "whole answers with a wrong text");
    }

    private static long homes(EntryProcess entry, String item) {
        return entry.membership().sides().stream()
                .filter(side -> side.residentItems().contains(item))
                .count();
    }
}
