package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.waxwingquay.standin.Faults;
import java.util.Optional;

/** Steps on one engine's memory; the engine itself counts how often it is overcommitted. */
public final class MemorySteps {

    private static final long MILLIS_PER_SECOND = 1_000L;

    private Optional<EngineWorld> engineWorld = Optional.empty();

    /** Closes the engine and its sides. */
    @After
    public void close() {
        engineWorld.ifPresent(EngineWorld::close);
    }

    /** Starts an engine whose memory holds one of two models. */
    @Given("an engine that {word} fencing numbers and holds one model")
    public void startEngine(String fencing) {
        engineWorld = Optional.of(new EngineWorld("heeds".equals(fencing)));
    }

    /** Starts a side that wants one model. */
    @When("a side starts that wants model {string}")
    public void startSide(String model) throws Exception {
        world().startSide(model);
    }

    /** Loses the next order before it reaches the engine. */
    @When("the next order is lost")
    public void loseNextOrder() {
        world().engine().faults().inject(Faults.Kind.LOSE_ORDER, 1);
    }

    /** Delays the next order inside the engine until after its sender has timed out. */
    @When("the next order lands {int} s after its time-out")
    public void delayNextOrder(int seconds) {
        world().engine().faults().apply(Faults.Settings.NONE.withOrderDelayMillis(seconds * MILLIS_PER_SECOND));
        world().engine().faults().inject(Faults.Kind.DELAY_ORDER, 1);
    }

    /** Makes the engine accept orders without executing them. */
    @When("the engine takes orders and never does them")
    public void forgetOrders() {
        world().engine().faults().inject(Faults.Kind.FORGET_ORDER, Faults.UNLIMITED);
    }

    /** Makes the engine execute orders again. */
    @When("the engine does its orders again")
    public void executeOrdersAgain() {
        world().engine().faults().inject(Faults.Kind.FORGET_ORDER, 0);
    }

    /** Delays the next order between the side and the engine. */
    @When("the next order is under way for {int} s")
    public void delayOrderInTransit(int seconds) {
        world().delayNextOrder(seconds * MILLIS_PER_SECOND);
    }

    /** Changes the model that placement assigns to the side. */
    @When("the side wants model {string} instead")
    public void changeWantedModel(String model) throws Exception {
        world().changeWantedModel(model);
    }

    /** Kills the newest side. */
    @When("the side dies")
    public void killSide() {
        world().killNewestSide();
    }

    /** Pauses the newest side. */
    @When("the side is paused")
    public void pauseSide() {
        world().pauseNewestSide();
    }

    /** Resumes the paused side. */
    @When("the paused side goes on")
    public void resumeSide() throws Exception {
        world().resumeOldestSide();
    }

    /** Advances the virtual clock. */
    @When("{int} s pass")
    public void advance(int seconds) throws Exception {
        world().advance(seconds * MILLIS_PER_SECOND);
    }

    /** Checks the engine's count of overcommits and its maximum memory use. */
    @Then("the engine's memory was never overcommitted")
    public void verifyNeverOvercommitted() {
        assertEquals(0L, world().engine().stats().memory().overcommits());
        assertTrue(world().engine().stats().memory().maxUsedBytes() <= EngineWorld.CAPACITY_BYTES);
    }

    /** Checks that the model is resident in the newest side's memory ledger. */
    @Then("model {string} is in memory")
    public void verifyInMemory(String model) {
        assertTrue(world().newestSideMemory().isResident(EngineWorld.itemOf(model)), () -> world().newestSideMemory()
                .toString());
    }

    private EngineWorld world() {
        return engineWorld.orElseThrow();
    }
}
