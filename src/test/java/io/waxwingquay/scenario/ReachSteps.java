package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.waxwingquay.standin.Faults;

/** Steps on the reach of every model. */
public final class ReachSteps {

    private final DeploymentWorld world = new DeploymentWorld();

    /** Closes what the scenario opened. */
    @After
    public void close() {
        world.close();
    }

    /** Starts a deployment. */
    @Given("a deployment that serves every model")
    public void serving() throws InterruptedException {
        world.start(choices -> choices);
    }

    /** Ends a side and its engine at once. */
    @When("the target {int} dies with its side")
    public void dies(int replica) {
        world.studio(replica).close();
        world.engine(replica).close();
    }

    /** Takes the platform out. */
    @When("the platform is out")
    public void platformOut() {
        world.deployment().platform().faults().next(Faults.Kind.OUT, Faults.FOREVER);
    }

    /** Asks for every model through every entry. */
    @Then("every model answers through every entry")
    public void everyModel() throws Exception {
        world.awaitEveryModel();
        assertEquals(0L, world.overcommits());
    }
}
