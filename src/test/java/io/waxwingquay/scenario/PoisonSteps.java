package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.waxwingquay.bench.CallerAnswer;
import io.waxwingquay.standin.Faults;
import io.waxwingquay.testing.Await;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** Steps on requests that crash their targets, sent through complete entry processes. */
public final class PoisonSteps {

    private static final String POISON_PROMPT = "poison pill";
    private static final int TOKENS_PER_ANSWER = 30;
    private static final int MAX_RESENDS = 12;
    private static final long RESTART_MILLIS = 300;
    private static final int QUARANTINED_STATUS = 422;
    private static final int ENTRIES = 2;

    private Optional<CallPathWorld> world = Optional.empty();
    private List<CompletableFuture<CallerAnswer>> otherAnswers = List.of();

    /** Closes the call path, which is not shared because its engines crash. */
    @After
    public void close() {
        world.ifPresent(CallPathWorld::close);
    }

    /** Starts a call path whose engines crash on the poison prompt, with or without an outage of the store. */
    @Given("poison: a path of four engines with the store {word}")
    public void startPath(String storeState) throws Exception {
        CallPathWorld started = CallPathWorld.start(4, 1);
        world = Optional.of(started);
        started.engines().forEach(engine -> engine.faults()
                .apply(Faults.Settings.NONE.withCrash(POISON_PROMPT, RESTART_MILLIS)));
        if (storeState.equals("out")) {
            started.platform().faults().inject(Faults.Kind.OUT, Faults.UNLIMITED);
        }
    }

    /** Sends the poison request repeatedly, through the entries in turn, while other completions run. */
    @When("poison: {int} completions run while a poison request is sent {int} times, one after the other")
    public void sendSequentially(int others, int times) throws Exception {
        startOtherCompletions(others);
        for (int number = 0; number < times; number++) {
            Await.value(path().sendCompletion(
                            path().entryProcessAddress(number % ENTRIES), POISON_PROMPT, TOKENS_PER_ANSWER));
        }
    }

    /** Sends concurrent copies of the poison request, and sends as many again when all have failed. */
    @When("poison: {int} completions run while {int} copies of a poison request are sent at once and then again")
    public void sendAtOnce(int others, int copies) throws Exception {
        startOtherCompletions(others);
        for (int round = 0; round < ENTRIES; round++) {
            List<CompletableFuture<CallerAnswer>> sent = IntStream.range(0, copies)
                    .mapToObj(number -> path().sendCompletion(
                                    path().entryProcessAddress(number % ENTRIES), POISON_PROMPT, TOKENS_PER_ANSWER))
                    .toList();
            for (CompletableFuture<CallerAnswer> answer : sent) {
                Await.value(answer);
            }
        }
    }

    /** Checks the number of crashes over all engines. */
    @Then("poison: at most {int} targets crashed")
    public void verifyCrashes(int targets) {
        int crashes = path().engines().stream()
                .mapToInt(engine -> engine.stats().crashes())
                .sum();
        assertTrue(crashes >= 1, "the poison request never ran");
        assertTrue(crashes <= targets, crashes + " targets crashed");
    }

    /** Sends the request again; an entry not yet informed of the second crash learns of it from the side it selects. */
    @Then("poison: the poison request is refused with status 422 through every entry")
    public void verifyQuarantined() throws Exception {
        for (int number = 0; number < ENTRIES; number++) {
            CallerAnswer answer = Await.value(
                    path().sendCompletion(path().entryProcessAddress(number), POISON_PROMPT, TOKENS_PER_ANSWER));
            assertEquals(QUARANTINED_STATUS, answer.statusCode(), answer.toString());
        }
    }

    /**
     * Waits for the answers of the other callers, each of which resends an interrupted request after the retry-after
     * delay. A crashed target is away for a while and then loads its model again; on a busy machine, resends without
     * that delay would all be used up before the model is loaded.
     */
    @Then("poison: every other caller got its whole answer, sending again where it was told to")
    public void verifyOthersWhole() throws Exception {
        for (int number = 0; number < otherAnswers.size(); number++) {
            CallerAnswer answer = Await.value(otherAnswers.get(number));
            for (int resend = 0; !answer.isWhole() && resend < MAX_RESENDS; resend++) {
                assertTrue(answer.statusCode() != QUARANTINED_STATUS, answer.toString());
                awaitRetryAfter(answer);
                answer = Await.value(path().sendCompletion(
                                path().entryProcessAddress(resend % ENTRIES), prompt(number), TOKENS_PER_ANSWER));
            }
            assertTrue(answer.isWhole(), answer.toString());
            assertEquals(CallPathWorld.expectedText(prompt(number), TOKENS_PER_ANSWER), answer.text());
        }
    }

    private static void awaitRetryAfter(CallerAnswer answer) throws Exception {
        long retryAfterMillis =
                answer.error().map(CallerAnswer.Error::retryAfterMillis).orElse(0L);
        Await.value(new CompletableFuture<Void>().completeOnTimeout(null, retryAfterMillis, TimeUnit.MILLISECONDS));
    }

    private void startOtherCompletions(int count) throws Exception {
        long tokensBefore = generatedTokens();
        otherAnswers = IntStream.range(0, count)
                .mapToObj(number -> path().sendCompletion(
                                path().entryProcessAddress(number % ENTRIES), prompt(number), TOKENS_PER_ANSWER))
                .toList();
        Await.until(() -> generatedTokens() > tokensBefore + count);
    }

    private long generatedTokens() {
        return path().engines().stream()
                .mapToLong(engine -> engine.stats().batch().tokens())
                .sum();
    }

    private CallPathWorld path() {
        return world.orElseThrow();
    }

    private static String prompt(int number) {
        return "innocent " + number;
    }
}
