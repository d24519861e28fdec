package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.waxwingquay.standin.Faults;
import java.util.Optional;

/** Steps on one engine's memory, with the engine's own record of overcommits as the judge. */
public final class MemorySteps {

    private static final long MILLIS_PER_SECOND = 1_000L;

    private Optional<EngineWorld> engineWorld = Optional.empty();

    /** Closes what the scenario opened. */
    @After
    public void close() {
        engineWorld.ifPresent(EngineWorld::close);
    }

    /** Starts an engine that takes one model of two. */
    @Given("an engine that {word} fencing numbers and holds one model")
    public void startEngine(String fencing) {
        engineWorld = Optional.of(new EngineWorld("heeds".equals(fencing)));
    }

    /** Starts a side. */
    @When("a side starts that wants model {string}")
    public void startSide(String model) throws Exception {
        world().startSide(model);
    }

    /** Loses orders on their way. */
    @When("the next order is lost")
    public void loseNextOrder() {
        world().engine().faults().next(Faults.Kind.LOSE_ORDER, 1);
    }

    /** Delays an order whose sender sees a time-out. */
    @When("the next order lands {int} s after its time-out")
    public void delayNextOrder(int seconds) {
        world().engine().faults().set(Faults.Settings.NONE.withOrderDelayMillis(seconds * MILLIS_PER_SECOND));
        world().engine().faults().next(Faults.Kind.DELAY_ORDER, 1);
    }

    /** Takes orders and forgets them. */
    @When("the engine takes orders and never does them")
    public void forgetOrders() {
        world().engine().faults().next(Faults.Kind.FORGET_ORDER, Faults.FOREVER);
    }

    /** Ends the forgetting. */
    @When("the engine does its orders again")
    public void executeOrdersAgain() {
        world().engine().faults().next(Faults.Kind.FORGET_ORDER, 0);
    }

    /** Holds the next order between the side and the engine. */
    @When("the next order is under way for {int} s")
    public void delayOrderInTransit(int seconds) {
        world().delayNextOrder(seconds * MILLIS_PER_SECOND);
    }

    /** Changes what placement wants. */
    @When("the side wants model {string} instead")
    public void changeWantedModel(String model) throws Exception {
        world().changeWantedModel(model);
    }

    /** Kills the side. */
    @When("the side dies")
    public void killSide() {
        world().killNewestSide();
    }

    /** Pauses the side. */
    @When("the side is paused")
    public void pauseSide() {
        world().pauseNewestSide();
    }

    /** Lets the paused side go on. */
    @When("the paused side goes on")
    public void resumeSide() throws Exception {
        world().resumeOldestSide();
    }

    /** Lets time pass. */
    @When("{int} s pass")
    public void advance(int seconds) throws Exception {
        world().advance(seconds * MILLIS_PER_SECOND);
    }

    /** Asks the engine. */
    @Then("the engine's memory was never overcommitted")
    public void verifyNeverOvercommitted() {
        assertEquals(0L, world().engine().stats().memory().overcommits());
        assertTrue(world().engine().stats().memory().maxUsedBytes() <= EngineWorld.CAPACITY_BYTES);
    }

    /** Asks the side. */
    @Then("model {string} is in memory")
    public void verifyInMemory(String model) {
        assertTrue(world().newestSideMemory().isResident(EngineWorld.itemOf(model)), () -> world().newestSideMemory()
                .toString());
    }

    private EngineWorld world() {
        return engineWorld.orElseThrow();
    }
}
