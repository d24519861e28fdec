package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.waxwingquay.bench.CallerAnswer;
import io.waxwingquay.claim.ClaimStore;
import io.waxwingquay.standin.Faults;
import io.waxwingquay.testing.Await;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/** Steps on calls that must run at most once. */
public final class ClaimSteps {

    private static final List<String> SIDES = List.of("booking-0", "booking-1");
    private static final int LOST_ANSWERS = 4;
    private static final String IN_PROGRESS = "in_progress";

    private final Map<String, Integer> runsBeforeReplacement = new TreeMap<>();
    private final List<String> firstOutcomes = new ArrayList<>();
    private final List<String> resendOutcomes = new ArrayList<>();
    private final String keyPrefix = UUID.randomUUID().toString();
    private Optional<CallPathWorld> world = Optional.empty();
    private boolean pathBroken;

    /** Discards a call path that has permanently lost a process. */
    @After
    public void discardBrokenPath() {
        if (pathBroken) {
            world.ifPresent(SharedCallPaths::discard);
        }
    }

    /** Takes the shared call path and clears its faults. */
    @Given("claims: a path of two plain services")
    public void takeSharedPath() throws Exception {
        world = Optional.of(SharedCallPaths.take(1, 2));
    }

    /** Sends the deposits for the first time and checks each outcome against the runs. */
    @When("claims: {int} deposits are sent through entry 0 with {string} and {string}")
    public void sendDeposits(int count, String fault, String otherFault) throws Exception {
        injectBeforeSending(fault);
        injectBeforeSending(otherFault);
        List<CompletableFuture<CallerAnswer>> sent = IntStream.range(0, count)
                .mapToObj(number -> path().sendDeposit(path().entryAddress(0), key(number)))
                .toList();
        injectWhileInFlight(fault, count);
        injectWhileInFlight(otherFault, count);
        for (int number = 0; number < count; number++) {
            firstOutcomes.add(RefusalSteps.outcomeOf(Await.value(sent.get(number))));
            verifyRunCount(number, firstOutcomes.get(number));
        }
        applyAfterAnswers(fault);
        applyAfterAnswers(otherFault);
    }

    /** Clears all faults and resends each deposit until its outcome is no longer that a claim is in progress. */
    @When("claims: the faults end and the same deposits are sent through entry 1 until told for good")
    public void resendUntilFinal() throws Exception {
        path().platform().faults().clear();
        path().plainService(0).faults().clear();
        path().plainService(1).faults().clear();
        SIDES.forEach(side -> path().targetLink(side).heal());
        SIDES.forEach(side -> path().sideLink(side).heal());
        for (int number = 0; number < firstOutcomes.size(); number++) {
            resendOutcomes.add(resendUntilFinal(number));
            verifyRunCount(number, resendOutcomes.get(number));
        }
    }

    /** Checks after all resends that no deposit ran twice and that each deposit answered at first ran exactly once. */
    @Then("claims: no deposit ran twice and what was told is true")
    public void verifyAtMostOnce() {
        for (int number = 0; number < firstOutcomes.size(); number++) {
            assertTrue(runCount(number) <= 1, key(number) + " ran " + runCount(number) + " times");
            if (firstOutcomes.get(number).equals("answered")) {
                assertEquals(1, runCount(number));
            }
        }
    }

    /** Checks the outcomes, as a system that refuses every call would pass the checks on runs alone. */
    @Then("claims: every resend was told {string}")
    public void verifyResendOutcomes(String expectedOutcome) {
        resendOutcomes.forEach(
                outcome -> assertEquals(expectedOutcome, outcome, firstOutcomes + " then " + resendOutcomes));
    }

    private String resendUntilFinal(int number) throws Exception {
        List<CallerAnswer> answers = new ArrayList<>();
        Await.until(() -> {
            CallerAnswer answer = Await.value(path().sendDeposit(path().entryAddress(1), key(number)));
            answers.add(answer);
            return !answer.error().map(CallerAnswer.Error::code).orElse("").equals(IN_PROGRESS);
        });
        return RefusalSteps.outcomeOf(answers.get(answers.size() - 1));
    }

    /** Compares an outcome with the runs so far; a resend may run later without making the outcome wrong. */
    private void verifyRunCount(int number, String outcome) {
        int runCount = runCount(number);
        assertTrue(runCount <= 1, key(number) + " ran " + runCount + " times");
        if (outcome.equals("did_not_run")) {
            assertEquals(0, runCount, key(number) + " ran although its caller was told that it did not");
        }
        if (outcome.equals("answered")) {
            assertEquals(1, runCount, key(number) + " was answered without a run");
        }
    }

    /** Starts a new path, whose sides have no pooled connection on which a call might get lost instead of refused. */
    private void replacePath() throws Exception {
        SharedCallPaths.discard(path());
        takeSharedPath();
    }

    private void injectBeforeSending(String fault) throws Exception {
        switch (fault) {
            case "entry dies after its claim" -> SIDES.forEach(
                    side -> path().sideLink(side).blackholeAll());
            case "store answer lost" -> path().platform().faults().inject(Faults.Kind.LOSE_ANSWER, 1);
            case "store out" -> path().platform().faults().inject(Faults.Kind.OUT, Faults.UNLIMITED);
            case "target not reachable" -> {
                replacePath();
                SIDES.forEach(path()::closeTarget);
            }
            case "target drops connections" -> SIDES.forEach(
                    side -> path().targetLink(side).disconnect());
            case "answer lost after the run", "target replaced after the run" -> IntStream.range(0, SIDES.size())
                    .forEach(replica ->
                            path().plainService(replica).faults().inject(Faults.Kind.LOSE_ANSWER, LOST_ANSWERS));
            default -> {}
        }
    }

    private void injectWhileInFlight(String fault, int count) throws Exception {
        if (fault.equals("entry dies after its claim")) {
            Await.until(() -> IntStream.range(0, count).allMatch(this::isClaimed));
            path().closeEntry(0);
            pathBroken = true;
        }
    }

    private void applyAfterAnswers(String fault) {
        if (fault.equals("target not reachable")) {
            SIDES.forEach(path()::reopenTarget);
        }
        if (fault.equals("target replaced after the run")) {
            IntStream.range(0, firstOutcomes.size())
                    .forEach(number -> runsBeforeReplacement.put(key(number), path().runCount(key(number))));
            path().replacePlain(0);
            path().replacePlain(1);
        }
    }

    private boolean isClaimed(int number) {
        return path().platform().row(ClaimStore.rowKey("booking", key(number))).isPresent();
    }

    private int runCount(int number) {
        return path().runCount(key(number)) + runsBeforeReplacement.getOrDefault(key(number), 0);
    }

    private CallPathWorld path() {
        return world.orElseThrow();
    }

    private String key(int number) {
        return keyPrefix + number;
    }
}
