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

/** Steps on calls that may run at most once. */
public final class ClaimSteps {

    private static final List<String> SIDES = List.of("booking-0", "booking-1");
    private static final int LOST_ANSWERS = 4;
    private static final String IN_PROGRESS = "in_progress";

    private final Map<String, Integer> earlierRuns = new TreeMap<>();
    private final List<String> first = new ArrayList<>();
    private final List<String> resent = new ArrayList<>();
    private final String run = UUID.randomUUID().toString();
    private Optional<CallPathWorld> world = Optional.empty();
    private boolean broken;

    /** Ends a path that lost a process for good. */
    @After
    public void discardBroken() {
        if (broken) {
            world.ifPresent(SharedPath::discard);
        }
    }

    /** Starts a path. */
    @Given("claims: a path of two plain services")
    public void startPath() throws Exception {
        world = Optional.of(SharedPath.take(1, 2));
    }

    /** Sends the first tries. */
    @When("claims: {int} deposits are sent through entry 0 with {string} and {string}")
    public void send(int count, String fault, String other) throws Exception {
        before(fault);
        before(other);
        List<CompletableFuture<CallerAnswer>> sent = IntStream.range(0, count)
                .mapToObj(number -> path().deposit(path().entry(0), key(number)))
                .toList();
        during(fault, count);
        during(other, count);
        for (int number = 0; number < count; number++) {
            first.add(RefusalSteps.told(Await.value(sent.get(number))));
            judge(number, first.get(number));
        }
        after(fault);
        after(other);
    }

    /** Heals everything and sends the same calls again, as long as they are told to come back. */
    @When("claims: the faults end and the same deposits are sent through entry 1 until told for good")
    public void resend() throws Exception {
        path().platform().faults().clear();
        path().plain(0).faults().clear();
        path().plain(1).faults().clear();
        SIDES.forEach(side -> path().targetLink(side).heal());
        SIDES.forEach(side -> path().sideLink(side).heal());
        for (int number = 0; number < first.size(); number++) {
            resent.add(resend(number));
            judge(number, resent.get(number));
        }
    }

    /** Counts once more at the end. */
    @Then("claims: no deposit ran twice and what was told is true")
    public void atMostOnce() {
        for (int number = 0; number < first.size(); number++) {
            assertTrue(runs(number) <= 1, key(number) + " ran " + runs(number) + " times");
            if (first.get(number).equals("answered")) {
                assertEquals(1, runs(number));
            }
        }
    }

    /** Keeps the judge from being met by refusing for ever. */
    @Then("claims: every resend was told {string}")
    public void everyResend(String told) {
        resent.forEach(answer -> assertEquals(told, answer, first + " then " + resent));
    }

    private String resend(int number) throws Exception {
        List<CallerAnswer> last = new ArrayList<>();
        Await.until(() -> {
            CallerAnswer answer = Await.value(path().deposit(path().entry(1), key(number)));
            last.add(answer);
            return !answer.error().map(CallerAnswer.Error::code).orElse("").equals(IN_PROGRESS);
        });
        return RefusalSteps.told(last.get(last.size() - 1));
    }

    /** Told at this moment, so a later run under a resend does not make it untrue. */
    private void judge(int number, String told) {
        int runs = runs(number);
        assertTrue(runs <= 1, key(number) + " ran " + runs + " times");
        if (told.equals("did_not_run")) {
            assertEquals(0, runs, key(number) + " ran although its caller was told that it did not");
        }
        if (told.equals("answered")) {
            assertEquals(1, runs, key(number) + " was answered without a run");
        }
    }

    /** Sides of a new path have no pooled connection, on which a call might get lost instead of being refused. */
    private void freshPath() throws Exception {
        SharedPath.discard(path());
        startPath();
    }

    private void before(String fault) throws Exception {
        switch (fault) {
            case "entry dies after its claim" -> SIDES.forEach(
                    side -> path().sideLink(side).blackholeAll());
            case "store answer lost" -> path().platform().faults().inject(Faults.Kind.LOSE_ANSWER, 1);
            case "store out" -> path().platform().faults().inject(Faults.Kind.OUT, Faults.UNLIMITED);
            case "target not reachable" -> {
                freshPath();
                SIDES.forEach(path()::closeTarget);
            }
            case "target drops connections" -> SIDES.forEach(
                    side -> path().targetLink(side).disconnect());
            case "answer lost after the run", "target replaced after the run" -> IntStream.range(0, SIDES.size())
                    .forEach(replica -> path().plain(replica).faults().inject(Faults.Kind.LOSE_ANSWER, LOST_ANSWERS));
            default -> {}
        }
    }

    private void during(String fault, int count) throws Exception {
        if (fault.equals("entry dies after its claim")) {
            Await.until(() -> IntStream.range(0, count).allMatch(this::isClaimed));
            path().closeEntry(0);
            broken = true;
        }
    }

    private void after(String fault) {
        if (fault.equals("target not reachable")) {
            SIDES.forEach(path()::reopenTarget);
        }
        if (fault.equals("target replaced after the run")) {
            IntStream.range(0, first.size()).forEach(number -> earlierRuns.put(key(number), path().runs(key(number))));
            path().replacePlain(0);
            path().replacePlain(1);
        }
    }

    private boolean isClaimed(int number) {
        return path().platform().row(ClaimStore.rowKey("booking", key(number))).isPresent();
    }

    private int runs(int number) {
        return path().runs(key(number)) + earlierRuns.getOrDefault(key(number), 0);
    }

    private CallPathWorld path() {
        return world.orElseThrow();
    }

    private String key(int number) {
        return run + number;
    }
}
