package io.waxwingquay.reservation;

import io.waxwingquay.common.HostPort;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/** A book of one engine with simulated time, whose engine runs what it is told to. */
final class SlotBookFixture {

    static final HostPort ENTRY = new HostPort("10.0.0.1", 7382);
    static final Rank URGENT = new Rank(0, 0, 250);
    static final Rank LIVE = new Rank(0, 1, 400);
    static final Rank RELAXED = new Rank(0, 2, 8_000);

    final Set<String> running = new TreeSet<>();
    long nowMillis = 1_000_000L;
    long bornMillis = 7;
    int queued;
    boolean accepting = true;
    Set<String> models = Set.of("m");
    final SlotBook book;

    SlotBookFixture(int slots) {
        this(slots, PromptPacer.disabled(), AdapterGate.DISABLED);
    }

    SlotBookFixture(int slots, PromptPacer pacer, AdapterGate adapters) {
        book = new SlotBook.Default(pacer, adapters, () -> nowMillis, new SplittableRandom(1));
        book.configure(slots);
        report();
    }

    List<SlotAnswer> report() {
        return book.observe(new EngineOccupancy(
                bornMillis, accepting, running.size(), queued, 0, 0, Set.copyOf(new HashSet<>(running)), models));
    }

    /** Occupies a number of slots by requests that were not granted here. */
    void occupy(int count) {
        running.clear();
        for (int each = 0; each < count; each++) {
            running.add("other-" + each);
        }
        report();
    }

    List<SlotAnswer> advance(long millis) {
        nowMillis += millis;
        return book.advance();
    }

    static SlotRequest request(long id, Rank rank) {
        return request(id, rank, "", 0, 8_000);
    }

    static SlotRequest request(long id, Rank rank, String account, long ageMillis, long maxWaitMillis) {
        return new SlotRequest(
                new SlotRequest.Key(ENTRY, id),
                "a" + id,
                "m",
                Optional.empty(),
                100,
                0,
                rank,
                Optional.of(account).filter(name -> !name.isEmpty()),
                1,
                ageMillis,
                maxWaitMillis,
                200);
    }

    static SlotRequest withPrompt(SlotRequest request, long promptTokens, Optional<String> adapter) {
        return new SlotRequest(
                request.key(),
                request.attemptId(),
                request.model(),
                adapter,
                promptTokens,
                request.outputTokens(),
                request.rank(),
                request.account(),
                request.accountWeight(),
                request.ageMillis(),
                request.maxWaitMillis(),
                request.pauseObjectiveMillis());
    }

    /** Submits a request and returns the decision about it. */
    SlotDecision decide(SlotRequest request) {
        return book.submit(request).stream()
                .filter(answer -> answer.key().equals(request.key()))
                .map(SlotAnswer::decision)
                .findFirst()
                .orElseThrow();
    }

    static List<Long> granted(List<SlotAnswer> answers) {
        return answers.stream()
                .filter(answer -> answer.decision() instanceof SlotDecision.Granted)
                .map(answer -> answer.key().id())
                .toList();
    }

    static List<SlotDecision.Reason> reasons(List<SlotAnswer> answers) {
        return answers.stream()
                .map(SlotAnswer::decision)
                .filter(SlotDecision.Denied.class::isInstance)
                .map(decision -> ((SlotDecision.Denied) decision).reason())
                .toList();
    }
}
