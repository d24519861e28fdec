package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.waxwingquay.permit.Permits.Limit;
import io.waxwingquay.process.SideProcess;
import io.waxwingquay.testing.Await;
import io.waxwingquay.transport.ThriftConnections;
import io.waxwingquay.transport.generated.PermitAnswer;
import io.waxwingquay.transport.generated.PermitRequest;
import java.util.concurrent.atomic.AtomicInteger;

/** Steps on a second side for one target while the first still runs. */
public final class ReplacementSteps {

    private static final long PERMIT_LEASE_MILLIS = 1_000L;

    private final DeploymentWorld world = DeploymentWorld.current();
    private final AtomicInteger permitCount = new AtomicInteger();
    private SideProcess firstSide;

    /** Starts another side process of the same name. */
    @When("a second side starts for target {int} while the first lives on")
    public void startSecondSide(int replica) {
        firstSide = world.closeAtEnd(world.modelSide(replica));
        world.deployment().startSide(world.modelService(), replica);
    }

    /** Waits for the first side to step down; a superseded lender always gives a whole lease as retry-after delay. */
    @Then("the first steps down and lends no permits of the shared limits")
    public void verifyFirstSuperseded() throws Exception {
        Await.until(firstSide::isLeaving);
        ThriftConnections connections =
                world.closeAtEnd(ThriftConnections.builder().build());
        Await.until(() -> {
            PermitAnswer answer =
                    Await.value(connections.to(firstSide.address()).borrowPermit(permitRequest()));
            return !answer.isGranted() && answer.getRetryAfterMillis() == PERMIT_LEASE_MILLIS;
        });
        assertEquals(0L, world.overcommitCount());
    }

    private PermitRequest permitRequest() {
        return new PermitRequest(Limit.WEIGHT_LOADS.name(), "test", "permit-" + permitCount.incrementAndGet(), 1L);
    }
}
