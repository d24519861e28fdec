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

/** Steps on connections that go silent without being closed. The bounds are numbers of lost polls, not times. */
public final class SilenceSteps {

    private static final int TOKENS_PER_ANSWER = 60;
    private static final int TOKENS_BEFORE_SILENCE = 5;
    private static final List<String> SIDES = List.of("studio-0", "studio-1");

    private CallPathWorld world;
    private List<CompletableFuture<CallerAnswer>> pendingAnswers;
    private double resumesBefore;
    private long startedBefore;

    /** Takes the shared call path and clears its faults. */
    @Given("silence: a path of two engines")
    public void takeSharedPath() throws Exception {
        world = SharedCallPaths.take(2, 1);
    }

    /** Silences the open connections to the sides while completions are streamed. */
    @When("silence: every open connection to the sides goes silent while {int} completions are streamed")
    public void silenceSides(int count) throws Exception {
        streamCompletions(count);
        SIDES.forEach(side -> world.sideLink(side).blackholeOpen());
    }

    /** Silences the connections to the sides, and again once the streams have resumed over fresh connections. */
    @When("silence: every open connection to the sides goes silent twice while {int} completions are streamed")
    public void silenceSidesTwice(int count) throws Exception {
        silenceSides(count);
        Await.until(() -> resumeCount() >= count);
        SIDES.forEach(side -> world.sideLink(side).blackholeOpen());
    }

    /** Silences the open connections to the engines while completions are streamed. */
    @When("silence: every open connection to the engines goes silent while {int} completions are streamed")
    public void silenceEngines(int count) throws Exception {
        streamCompletions(count);
        SIDES.forEach(side -> world.targetLink(side).blackholeOpen());
    }

    /** Silences the open connections to sides and engines while completions are streamed. */
    @When("silence: every open connection goes silent while {int} completions are streamed")
    public void silenceAll(int count) throws Exception {
        streamCompletions(count);
        SIDES.forEach(side -> world.targetLink(side).blackholeOpen());
        SIDES.forEach(side -> world.sideLink(side).blackholeOpen());
    }

    /** Compares the text of every answer with the text that the engines generate for its prompt. */
    @Then("silence: all {int} are answered whole")
    public void verifyAnswersWhole(int count) throws Exception {
        for (int number = 0; number < count; number++) {
            CallerAnswer answer = Await.value(pendingAnswers.get(number));
            assertTrue(answer.isWhole(), answer.toString());
            assertEquals(CallPathWorld.expectedText("silent " + number, TOKENS_PER_ANSWER), answer.text());
        }
    }

    /** Checks that requests were resumed, at most once each on average. */
    @Then("silence: each was taken up again at most once")
    public void verifyResumedAtMostOnce() {
        verifyResumes(1);
    }

    /** Checks that requests were resumed, at most the given number of times each on average. */
    @Then("silence: each was taken up again at most {int} times")
    public void verifyResumes(int times) {
        double resumes = resumeCount();
        assertTrue(resumes > 0, "no silent connection was detected");
        assertTrue(
                resumes <= (double) times * pendingAnswers.size(),
                resumes + " resumes of " + pendingAnswers.size() + " requests");
    }

    /** Checks the number of generations that the engines started, which a request run twice would exceed. */
    @Then("silence: the engines ran {int} generations")
    public void verifyGenerations(int count) {
        assertEquals(count, startedGenerations() - startedBefore);
    }

    private void streamCompletions(int count) throws Exception {
        resumesBefore = world.resumeCount(0) + world.resumeCount(1);
        startedBefore = startedGenerations();
        long tokensBefore = generatedTokens();
        pendingAnswers = IntStream.range(0, count)
                .mapToObj(number ->
                        world.sendCompletion(world.entryAddress(number % 2), "silent " + number, TOKENS_PER_ANSWER))
                .toList();
        Await.until(() -> generatedTokens() >= tokensBefore + (long) count * TOKENS_BEFORE_SILENCE);
    }

    private double resumeCount() {
        return world.resumeCount(0) + world.resumeCount(1) - resumesBefore;
    }

    private long startedGenerations() {
        return world.engines().stream()
                .mapToLong(engine -> engine.stats().batch().started())
                .sum();
    }

    private long generatedTokens() {
        return world.engines().stream()
                .mapToLong(engine -> engine.stats().batch().tokens())
                .sum();
    }
}
