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

/** Steps on leaving targets and on the shutdown of processes. */
public final class LeavingSteps {

    private static final int REPLICAS = 3;
    private static final int QUEUEING_REQUESTS = 24;
    private static final int LONG_ANSWER_TOKENS = 600;
    private static final int REQUEST_ROUNDS = 10;
    private static final long LIST_TIMEOUT_MILLIS = 1_000L;
    private static final long LIST_ROLLBACK_MILLIS = 20_000L;
    private static final String DID_NOT_RUN = "did_not_run";

    private final DeploymentWorld world = DeploymentWorld.current();
    private final List<CompletableFuture<CallerAnswer>> openAnswers = new ArrayList<>();
    private String model = "";
    private int leavingReplica;
    private Optional<CompletableFuture<?>> shutdown = Optional.empty();
    private long startedAtAnnouncement;

    /** Opens one long stream and finds the target that runs it. */
    @Given("a long stream runs on a target")
    public void startLongStream() throws Exception {
        model = world.models().get(0);
        long[] startedBefore = IntStream.range(0, REPLICAS)
                .mapToLong(world::startedGenerations)
                .toArray();
        openAnswers.add(world.sendCompletion(0, model, LONG_ANSWER_TOKENS));
        Await.until(() -> IntStream.range(0, REPLICAS)
                .anyMatch(replica -> world.startedGenerations(replica) > startedBefore[replica]));
        leavingReplica = IntStream.range(0, REPLICAS)
                .filter(replica -> world.startedGenerations(replica) > startedBefore[replica])
                .findFirst()
                .orElseThrow();
    }

    /** Sends more concurrent requests than the targets have slots, so that some of them queue. */
    @Given("more requests queue behind it than run at once")
    public void queueRequests() throws Exception {
        for (int number = 0; number < QUEUEING_REQUESTS; number++) {
            openAnswers.add(world.sendCompletion(0, model, LONG_ANSWER_TOKENS));
        }
        Await.until(() -> world.startedGenerations(leavingReplica) > 3);
    }

    /** Starts the shutdown of the side of that target. */
    @When("that target's side leaves")
    public void drainSide() {
        shutdown = Optional.of(world.modelSide(leavingReplica).drain());
        recordStartedGenerations();
    }

    /** Starts the shutdown of the first entry. */
    @When("the first entry is shut down")
    public void drainFirstEntry() {
        shutdown = Optional.of(world.entry(0).drain());
    }

    /** Marks the VM of that target as leaving in the platform's list, while the VM keeps announcing itself as alive. */
    @When("the platform's list marks that target as leaving")
    public void markLeaving() throws Exception {
        Side side = world.entry(0)
                .membership()
                .side(DeploymentWorld.modelSideName(leavingReplica))
                .orElseThrow();
        VmList.Vm vm =
                new VmList.Vm(side.id(), side.address().host(), side.address().port(), side.dataCentre(), "side", true);
        HttpClient client = HttpCalls.startClient(1, LIST_TIMEOUT_MILLIS);
        world.closeAtEnd(client::stop);
        HttpVmList vmList = new HttpVmList(
                client, new HostPort("127.0.0.1", world.deployment().platform().port()), LIST_TIMEOUT_MILLIS);
        SideProcess leavingSide = world.modelSide(leavingReplica);
        Await.until(() -> {
            Await.value(vmList.announce(vm));
            return leavingSide.isLeaving();
        });
        shutdown = Optional.of(leavingSide.drain());
        recordStartedGenerations();
    }

    /** Makes the platform's list return its state from before the mark. */
    @When("the platform's list goes back")
    public void rollBackList() {
        Faults faults = world.deployment().platform().faults();
        faults.apply(Faults.Settings.NONE.withBackwardsMillis(LIST_ROLLBACK_MILLIS));
        faults.inject(Faults.Kind.LIST_BACKWARDS, Faults.UNLIMITED);
    }

    /** Sends requests through both entries until each is answered, and checks that the leaving target started none. */
    @Then("further requests are answered elsewhere and none starts on that target")
    public void verifyAnsweredElsewhere() throws Exception {
        for (int number = 0; number < REQUEST_ROUNDS; number++) {
            for (String requestedModel : world.models()) {
                int entry = number % 2;
                Await.until(() -> isWholeElseVerifyRejected(
                        Await.value(world.sendCompletion(entry, requestedModel, DeploymentWorld.TOKENS_PER_ANSWER))));
            }
        }
        assertEquals(
                startedAtAnnouncement,
                world.startedGenerations(leavingReplica),
                "generations started after the side announced that it leaves");
    }

    /** Checks that the open streams end whole and with the right text, and waits for the shutdown. */
    @Then("the open streams arrive whole and right")
    public void verifyStreamsWhole() throws Exception {
        for (CompletableFuture<CallerAnswer> answer : openAnswers) {
            assertTrue(Await.value(answer).isWhole(), () -> answer.join().toString());
        }
        assertEquals(0, world.wrongAnswerCount(), "whole answers with a wrong text");
        Await.value(shutdown.orElseThrow());
    }

    /** Checks that the first stream ends whole and every queued request is whole or rejected; awaits the shutdown. */
    @Then("each request arrives whole and right or is told that it did not run")
    public void verifyWholeOrRejected() throws Exception {
        assertTrue(
                Await.value(openAnswers.get(0)).isWhole(),
                () -> openAnswers.get(0).join().toString());
        for (CompletableFuture<CallerAnswer> answer : openAnswers) {
            isWholeElseVerifyRejected(Await.value(answer));
        }
        assertEquals(0, world.wrongAnswerCount(), "whole answers with a wrong text");
        Await.value(shutdown.orElseThrow());
    }

    /** Returns whether an answer is whole; if not, checks that it was rejected without having run. */
    private static boolean isWholeElseVerifyRejected(CallerAnswer answer) {
        assertTrue(answer.isWhole() || isRejected(answer), answer::toString);
        return answer.isWhole();
    }

    private static boolean isRejected(CallerAnswer answer) {
        return answer.tokens() == 0L
                && answer.error()
                        .filter(error -> DID_NOT_RUN.equals(error.execution()))
                        .isPresent();
    }

    /**
     * Counts the generations that the target has started. At this moment, requests that the side admitted earlier may
     * still be on their way to the engine.
     */
    private void recordStartedGenerations() {
        startedAtAnnouncement = world.startedGenerations(leavingReplica);
    }
}
