package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.waxwingquay.bench.CallerAnswer;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import io.waxwingquay.membership.Side;
import io.waxwingquay.process.SideProcess;
import io.waxwingquay.standin.Faults;
import io.waxwingquay.store.HttpVmList;
import io.waxwingquay.store.VmList;
import io.waxwingquay.testing.Await;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.eclipse.jetty.client.HttpClient;

/** Steps on targets that leave and on processes that shut down. */
public final class LeavingSteps {

    private static final int REPLICAS = 3;
    private static final int ALL_TARGETS_BUSY = 24;
    private static final int LONG_TOKENS = 600;
    private static final int ASKS = 10;
    private static final long LIST_MILLIS = 1_000L;
    private static final long FAR_BACK_MILLIS = 20_000L;
    private static final String DID_NOT_RUN = "did_not_run";

    private final DeploymentWorld world = DeploymentWorld.current();
    private final List<CompletableFuture<CallerAnswer>> open = new ArrayList<>();
    private String model = "";
    private int leaving;
    private Optional<CompletableFuture<?>> shutdown = Optional.empty();
    private long startedWhenAnnounced;

    /** Opens one long stream. */
    @Given("a long stream runs on a target")
    public void longStream() throws Exception {
        model = world.models().get(0);
        long[] before = IntStream.range(0, REPLICAS).mapToLong(world::started).toArray();
        open.add(world.ask(0, model, LONG_TOKENS));
        Await.until(() -> IntStream.range(0, REPLICAS).anyMatch(replica -> world.started(replica) > before[replica]));
        leaving = IntStream.range(0, REPLICAS)
                .filter(replica -> world.started(replica) > before[replica])
                .findFirst()
                .orElseThrow();
    }

    /** Asks for more at once than the targets run at once. */
    @Given("more requests queue behind it than run at once")
    public void queue() throws Exception {
        for (int number = 0; number < ALL_TARGETS_BUSY; number++) {
            open.add(world.ask(0, model, LONG_TOKENS));
        }
        Await.until(() -> world.started(leaving) > 3);
    }

    /** Shuts the side of that target down. */
    @When("that target's side leaves")
    public void leave() {
        shutdown = Optional.of(world.studio(leaving).drain());
        announced();
    }

    /** Shuts the first entry down. */
    @When("the first entry is shut down")
    public void shutEntry() {
        shutdown = Optional.of(world.entry(0).drain());
    }

    /** The platform's list says that the VM of that target leaves; the VM itself goes on announcing that it lives. */
    @When("the platform's list marks that target as leaving")
    public void mark() throws Exception {
        Side side = world.entry(0)
                .membership()
                .side(DeploymentWorld.studioName(leaving))
                .orElseThrow();
        VmList.Vm vm =
                new VmList.Vm(side.id(), side.address().host(), side.address().port(), side.dataCentre(), "side", true);
        HttpClient client = HttpCalls.startClient(1, LIST_MILLIS);
        world.own(client::stop);
        HttpVmList list = new HttpVmList(
                client, new HostPort("127.0.0.1", world.deployment().platform().port()), LIST_MILLIS);
        SideProcess marked = world.studio(leaving);
        Await.until(() -> {
            Await.value(list.announce(vm));
            return marked.isLeaving();
        });
        shutdown = Optional.of(marked.drain());
        announced();
    }

    /** The list goes back to a time before the mark. */
    @When("the platform's list goes back")
    public void goBack() {
        Faults faults = world.deployment().platform().faults();
        faults.apply(Faults.Settings.NONE.withBackwardsMillis(FAR_BACK_MILLIS));
        faults.inject(Faults.Kind.LIST_BACKWARDS, Faults.UNLIMITED);
    }

    /** Asks on, through both entries; each must be answered elsewhere. */
    @Then("further requests are answered elsewhere and none starts on that target")
    public void elsewhere() throws Exception {
        for (int number = 0; number < ASKS; number++) {
            for (String asked : world.models()) {
                int entry = number % 2;
                Await.until(() -> isWholeOrRefused(Await.value(world.ask(entry, asked, DeploymentWorld.TOKENS))));
            }
        }
        assertEquals(startedWhenAnnounced, world.started(leaving), "generations started after it announced leaving");
    }

    /** Waits for the streams. */
    @Then("the open streams arrive whole and right")
    public void whole() throws Exception {
        for (CompletableFuture<CallerAnswer> answer : open) {
            assertTrue(Await.value(answer).isWhole(), () -> answer.join().toString());
        }
        assertEquals(0, world.wrong(), "whole answers with a wrong text");
        Await.value(shutdown.orElseThrow());
    }

    /** Waits for the streams and the queue. */
    @Then("each request arrives whole and right or is told that it did not run")
    public void wholeOrRefused() throws Exception {
        assertTrue(Await.value(open.get(0)).isWhole(), () -> open.get(0).join().toString());
        for (CompletableFuture<CallerAnswer> answer : open) {
            isWholeOrRefused(Await.value(answer));
        }
        assertEquals(0, world.wrong(), "whole answers with a wrong text");
        Await.value(shutdown.orElseThrow());
    }

    /** Whether it is whole; else it must be a refusal that says truly that nothing ran. */
    private static boolean isWholeOrRefused(CallerAnswer seen) {
        assertTrue(seen.isWhole() || isRefused(seen), seen::toString);
        return seen.isWhole();
    }

    private static boolean isRefused(CallerAnswer seen) {
        return seen.tokens() == 0L
                && seen.error()
                        .filter(error -> DID_NOT_RUN.equals(error.execution()))
                        .isPresent();
    }

    /** Requests that the side had let in before are still on their way to the engine at this moment. */
    private void announced() {
        startedWhenAnnounced = world.started(leaving);
    }
}
