package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.waxwingquay.bench.CallerAnswer;
import io.waxwingquay.testing.Await;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/** Steps on silent connections. The bound is counted in polls lost, not in time. */
public final class SilenceSteps {

    private static final int TOKENS = 60;
    private static final int TOKENS_BEFORE = 5;
    private static final List<String> SIDES = List.of("studio-0", "studio-1");

    private CallPathWorld world;
    private List<CompletableFuture<CallerAnswer>> sent;
    private double resumesBefore;
    private long startedBefore;

    /** Takes the path. */
    @Given("silence: a path of two engines")
    public void path() throws Exception {
        world = SharedPath.take(2, 1);
    }

    /** Silences what leads to the sides. */
    @When("silence: every open connection to the sides goes silent while {int} completions are streamed")
    public void silenceSides(int count) throws Exception {
        send(count);
        SIDES.forEach(side -> world.sideLink(side).blackholeOpen());
    }

    /** Silences what leads to the sides, and again once the streams go on over fresh connections. */
    @When("silence: every open connection to the sides goes silent twice while {int} completions are streamed")
    public void silenceSidesTwice(int count) throws Exception {
        silenceSides(count);
        Await.until(() -> resumes() >= count);
        SIDES.forEach(side -> world.sideLink(side).blackholeOpen());
    }

    /** Silences what leads to the engines. */
    @When("silence: every open connection to the engines goes silent while {int} completions are streamed")
    public void silenceEngines(int count) throws Exception {
        send(count);
        SIDES.forEach(side -> world.targetLink(side).blackholeOpen());
    }

    /** Silences all. */
    @When("silence: every open connection goes silent while {int} completions are streamed")
    public void silenceAll(int count) throws Exception {
        send(count);
        SIDES.forEach(side -> world.targetLink(side).blackholeOpen());
        SIDES.forEach(side -> world.sideLink(side).blackholeOpen());
    }

    /** Compares every text. */
    @Then("silence: all {int} are answered whole")
    public void whole(int count) throws Exception {
        for (int number = 0; number < count; number++) {
            CallerAnswer answer = Await.value(sent.get(number));
            assertTrue(answer.isWhole(), answer.toString());
            assertEquals(CallPathWorld.expected("silent " + number, TOKENS), answer.text());
        }
    }

    /** Counts. */
    @Then("silence: each was taken up again at most once")
    public void atMostOnce() {
        atMost(1);
    }

    /** Counts. */
    @Then("silence: each was taken up again at most {int} times")
    public void atMost(int times) {
        double resumes = resumes();
        assertTrue(resumes > 0, "no connection was noticed");
        assertTrue(resumes <= (double) times * sent.size(), resumes + " resumes of " + sent.size() + " requests");
    }

    /** Counts. */
    @Then("silence: the engines ran {int} generations")
    public void ran(int count) {
        assertEquals(count, started() - startedBefore);
    }

    private void send(int count) throws Exception {
        resumesBefore = world.resumes(0) + world.resumes(1);
        startedBefore = started();
        long tokensBefore = tokens();
        sent = IntStream.range(0, count)
                .mapToObj(number -> world.complete(world.entry(number % 2), "silent " + number, TOKENS))
                .toList();
        Await.until(() -> tokens() >= tokensBefore + (long) count * TOKENS_BEFORE);
    }

    private double resumes() {
        return world.resumes(0) + world.resumes(1) - resumesBefore;
    }

    private long started() {
        return world.engines().stream()
                .mapToLong(engine -> engine.stats().batch().started())
                .sum();
    }

    private long tokens() {
        return world.engines().stream()
                .mapToLong(engine -> engine.stats().batch().tokens())
                .sum();
    }
}
