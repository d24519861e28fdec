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

/** Steps on what callers are told of calls that were not answered. */
public final class RefusalSteps {

    /** Calls reach their targets one table answer apart, a lost one included; the first still runs when the last does. */
    private static final long SLOW_MILLIS = 2_500;

    private static final int TABLE_ANSWERS = 1;
    private static final List<String> SIDES = List.of("booking-0", "booking-1");

    private final String run = UUID.randomUUID().toString();
    private Optional<CallPathWorld> world = Optional.empty();
    private boolean broken;
    private List<CompletableFuture<CallerAnswer>> sent;

    /** Ends a path that lost a process for good. */
    @After
    public void discardBroken() {
        if (broken) {
            world.ifPresent(SharedPath::discard);
        }
    }

    /** Starts a path. */
    @Given("refusals: a path of two plain services")
    public void startPath() throws Exception {
        world = Optional.of(SharedPath.take(1, 2));
    }

    /** Sends the calls, each with a key of its own. */
    @When("refusals: {int} deposits are sent with {string} and {string}")
    public void send(int count, String fault, String other) throws Exception {
        before(fault);
        before(other);
        sent = IntStream.range(0, count)
                .mapToObj(number -> path().deposit(path().entry(number % 2), key(number)))
                .toList();
        during(fault);
        during(other);
    }

    /** Compares the runs, after everything that was slow has had its turn, with what was told. */
    @Then("refusals: what each caller was told is true of the runs")
    public void isTrue() throws Exception {
        for (int number = 0; number < sent.size(); number++) {
            String told = told(Await.value(sent.get(number)));
            int runs = path().runs(key(number));
            assertTrue(runs <= 1, key(number) + " ran " + runs + " times");
            if (told.equals("did_not_run")) {
                assertEquals(0, runs, key(number) + " ran although its caller was told that it did not");
            }
            if (told.equals("answered") || told.equals("ran")) {
                assertEquals(1, runs, key(number) + " was told as run");
            }
        }
    }

    /** Keeps the judge from being met by telling "unknown" every time. */
    @Then("refusals: every caller was told {string}")
    public void everyCaller(String told) throws Exception {
        for (CompletableFuture<CallerAnswer> answer : sent) {
            assertEquals(told, told(Await.value(answer)), answer.join().toString());
        }
    }

    /** Sides of a new path have no pooled connection, on which a call might get lost instead of being refused. */
    private void freshPath() throws Exception {
        SharedPath.discard(path());
        startPath();
    }

    private void before(String fault) throws Exception {
        switch (fault) {
            case "answer lost after the run" -> plains(
                    plain -> plain.faults().inject(Faults.Kind.LOSE_ANSWER, Faults.UNLIMITED));
            case "target not reachable" -> {
                freshPath();
                broken = true;
                SIDES.forEach(path()::closeTarget);
            }
            case "table out" -> path().platform().faults().inject(Faults.Kind.OUT, Faults.UNLIMITED);
            case "table answer lost" -> path().platform().faults().inject(Faults.Kind.LOSE_ANSWER, TABLE_ANSWERS);
            case "side ends between take and run",
                    "link cut between take and run",
                    "link silent between take and run" -> plains(
                    plain -> plain.faults().apply(Faults.Settings.NONE.withSlowMillis(SLOW_MILLIS)));
            default -> {}
        }
    }

    private void during(String fault) throws Exception {
        if (!fault.endsWith("between take and run")) {
            return;
        }
        Await.until(() -> SIDES.stream()
                        .mapToInt(side -> path().targetLink(side).openConnections())
                        .sum()
                >= sent.size());
        switch (fault) {
            case "side ends between take and run" -> {
                broken = true;
                SIDES.forEach(side -> path().stopSide(side));
            }
            case "link cut between take and run" -> SIDES.forEach(
                    side -> path().sideLink(side).disconnect());
            default -> SIDES.forEach(side -> path().sideLink(side).blackholeAll());
        }
    }

    private void plains(Consumer<PlainServiceStandin> change) {
        change.accept(path().plain(0));
        change.accept(path().plain(1));
    }

    private CallPathWorld path() {
        return world.orElseThrow();
    }

    private String key(int number) {
        return run + number;
    }

    static String told(CallerAnswer answer) {
        return answer.isWhole()
                ? "answered"
                : answer.error().map(CallerAnswer.Error::execution).orElse("unknown");
    }
}
