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

/** Steps on a second process for one target, while the first lives on. */
public final class ReplacementSteps {

    private static final long LEASE_MILLIS = 1_000L;

    private final DeploymentWorld world = DeploymentWorld.current();
    private final AtomicInteger asked = new AtomicInteger();
    private SideProcess first;

    /** Starts another process of the same name. */
    @When("a second side starts for target {int} while the first lives on")
    public void second(int replica) {
        first = world.own(world.studio(replica));
        world.deployment().startSide(world.studioService(), replica);
    }

    /** A superseded home always tells to come back after a whole lease. */
    @Then("the first steps down and lends no permits of the shared limits")
    public void stepsDown() throws Exception {
        Await.until(first::isLeaving);
        ThriftConnections connections = world.own(ThriftConnections.builder().build());
        Await.until(() -> {
            PermitAnswer answer = Await.value(connections.to(first.address()).borrowPermit(request()));
            return !answer.isGranted() && answer.getRetryAfterMillis() == LEASE_MILLIS;
        });
        assertEquals(0L, world.overcommits());
    }

    private PermitRequest request() {
        return new PermitRequest(Limit.WEIGHT_LOADS.name(), "test", "permit-" + asked.incrementAndGet(), 1L);
    }
}
