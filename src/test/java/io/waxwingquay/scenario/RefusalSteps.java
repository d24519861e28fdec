package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.waxwingquay.bench.CallerAnswer;
import io.waxwingquay.standin.Faults;
import io.waxwingquay.standin.PlainServiceStandin;
import io.waxwingquay.testing.Await;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/** Steps on what callers are told about unanswered calls. */
public final class RefusalSteps {

    /** Long enough that the first call still runs when the last starts, up to one lost table answer later. */
    private static final long SLOW_RUN_MILLIS = 2_500;

    private static final int LOST_TABLE_ANSWERS = 1;
    private static final List<String> SIDES = List.of("booking-0", "booking-1");

    private final String keyPrefix = UUID.randomUUID().toString();
    private Optional<CallPathWorld> world = Optional.empty();
    private boolean pathBroken;
    private List<CompletableFuture<CallerAnswer>> pendingAnswers;

    /** Discards a call path that has permanently lost a process. */
    @After
    public void discardBrokenPath() {
        if (pathBroken) {
            world.ifPresent(SharedCallPaths::discard);
        }
    }

    /** Takes the shared call path and clears its faults. */
    @Given("refusals: a path of two plain services")
    public void takeSharedPath() throws Exception {
        world = Optional.of(SharedCallPaths.take(1, 2));
    }

    /** Sends the calls, each with its own key, and injects the faults. */
    @When("refusals: {int} deposits are sent with {string} and {string}")
    public void sendDeposits(int count, String fault, String otherFault) throws Exception {
        injectBeforeSending(fault);
        injectBeforeSending(otherFault);
        pendingAnswers = IntStream.range(0, count)
                .mapToObj(number -> path().sendDeposit(path().entryAddress(number % 2), key(number)))
                .toList();
        injectBetweenTakeAndRun(fault);
        injectBetweenTakeAndRun(otherFault);
    }

    /** Compares each outcome with the runs of its call, once the caller has its answer. */
    @Then("refusals: what each caller was told is true of the runs")
    public void verifyOutcomesTrue() throws Exception {
        for (int number = 0; number < pendingAnswers.size(); number++) {
            String outcome = outcomeOf(Await.value(pendingAnswers.get(number)));
            int runs = path().runCount(key(number));
            assertTrue(runs <= 1, key(number) + " ran " + runs + " times");
            if (outcome.equals("did_not_run")) {
                assertEquals(0, runs, key(number) + " ran although its caller was told that it did not");
            }
            if (outcome.equals("answered") || outcome.equals("ran")) {
                assertEquals(1, runs, key(number) + " was reported as run");
            }
        }
    }

    /** Checks the outcomes, as a system that always reports "unknown" would pass the comparison with the runs. */
    @Then("refusals: every caller was told {string}")
    public void verifyOutcomes(String expectedOutcome) throws Exception {
        for (CompletableFuture<CallerAnswer> answer : pendingAnswers) {
            assertEquals(
                    expectedOutcome,
                    outcomeOf(Await.value(answer)),
                    answer.join().toString());
        }
    }

    /** Starts a new path, whose sides have no pooled connection on which a call might get lost instead of refused. */
    private void replacePath() throws Exception {
        SharedCallPaths.discard(path());
        takeSharedPath();
    }

    private void injectBeforeSending(String fault) throws Exception {
        switch (fault) {
            case "answer lost after the run" -> forEachPlainService(
                    plain -> plain.faults().inject(Faults.Kind.LOSE_ANSWER, Faults.UNLIMITED));
            case "target not reachable" -> {
                replacePath();
                pathBroken = true;
                SIDES.forEach(path()::closeTarget);
            }
            case "table out" -> path().platform().faults().inject(Faults.Kind.OUT, Faults.UNLIMITED);
            case "table answer lost" -> path().platform().faults().inject(Faults.Kind.LOSE_ANSWER, LOST_TABLE_ANSWERS);
            case "side ends between take and run",
                    "link cut between take and run",
                    "link silent between take and run" -> forEachPlainService(
                    plain -> plain.faults().apply(Faults.Settings.NONE.withSlowMillis(SLOW_RUN_MILLIS)));
            default -> {}
        }
    }

    private void injectBetweenTakeAndRun(String fault) throws Exception {
        if (!fault.endsWith("between take and run")) {
            return;
        }
        Await.until(() -> SIDES.stream()
                        .mapToInt(side -> path().targetLink(side).openConnections())
                        .sum()
                >= pendingAnswers.size());
        switch (fault) {
            case "side ends between take and run" -> {
                pathBroken = true;
                SIDES.forEach(side -> path().stopSide(side));
            }
            case "link cut between take and run" -> SIDES.forEach(
                    side -> path().sideLink(side).disconnect());
            default -> SIDES.forEach(side -> path().sideLink(side).blackholeAll());
        }
    }

    private void forEachPlainService(Consumer<PlainServiceStandin> action) {
        action.accept(path().plainService(0));
        action.accept(path().plainService(1));
    }

    private CallPathWorld path() {
        return world.orElseThrow();
    }

    private String key(int number) {
        return keyPrefix + number;
    }

    static String outcomeOf(CallerAnswer answer) {
        return answer.isWhole()
                ? "answered"
                : answer.error().map(CallerAnswer.Error::execution).orElse("unknown");
    }
}
