package io.waxwingquay.pace;

import io.waxwingquay.reservation.PromptPacer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;

/** Bursts of prompts for a simulated engine, each of which waits for as long as a pacer says. */
final class PacedTraffic {

    static final long PAUSE_MILLIS = 200L;
    static final long OBJECTIVE_MILLIS = 400L;

    private static final int SLOTS = 24;
    private static final int GROUP = 5;
    private static final long POLL_MILLIS = 25L;

    final SimulatedEngine engine = new SimulatedEngine();
    private final List<Served> served = new ArrayList<>();
    private final PromptPacer pacer;
    private final Random random;
    private final double requestsPerSecond;
    private final List<Waiting> waiting = new ArrayList<>();
    private double nextGroupMillis;
    private long nowMillis;
    private int submitted;

    PacedTraffic(PromptPacer pacer, double requestsPerSecond, long seed) {
        this.pacer = pacer;
        this.requestsPerSecond = requestsPerSecond;
        this.random = new Random(seed);
    }

    long nowMillis() {
        return nowMillis;
    }

    void runUntil(long endMillis) {
        for (; nowMillis < endMillis; nowMillis++) {
            boolean arrived = arrive();
            if (nowMillis % POLL_MILLIS == 0) {
                pacer.observed(1, engine.report(nowMillis), nowMillis);
            }
            if (arrived || nowMillis % POLL_MILLIS == 0) {
                admit();
            }
        }
    }

    /** Adds a prompt to those that wait, and returns its number. */
    int submit(long promptTokens) {
        waiting.add(new Waiting(submitted++, promptTokens, 6 + random.nextInt(13), nowMillis));
        return submitted - 1;
    }

    private boolean arrive() {
        if (nowMillis < nextGroupMillis) {
            return false;
        }
        nextGroupMillis = nowMillis - Math.log(1 - random.nextDouble()) * GROUP * 1_000.0 / requestsPerSecond;
        for (int number = 0; number < GROUP; number++) {
            submit(promptTokens());
        }
        return true;
    }

    /** Returns a length of 700 tokens on average, with a few up to 2,300. */
    private long promptTokens() {
        return Math.min(2_300L, 150 + (long) (-Math.log(1 - random.nextDouble()) * 570));
    }

    /** Admits the oldest first; one that has waited for half of its objective is not overtaken. */
    private void admit() {
        for (Waiting request : List.copyOf(waiting)) {
            if (engine.running() >= SLOTS) {
                return;
            }
            if (pacer.delayMillis(request.promptTokens, PAUSE_MILLIS, nowMillis) == 0) {
                pacer.admitted(request.promptTokens, PAUSE_MILLIS, nowMillis);
                waiting.remove(request);
                served.add(new Served(request, engine.add(request.promptTokens, request.events, nowMillis)));
            } else if (nowMillis - request.atMillis > OBJECTIVE_MILLIS / 2) {
                return;
            }
        }
    }

    /** Returns the share of streams with a pause above the objective. */
    double shareOfLongPauses() {
        return served.stream()
                .mapToDouble(one -> one.stream.longestPauseMillis > PAUSE_MILLIS ? 1 : 0)
                .average()
                .orElse(0);
    }

    /** Returns the waits for the first event, by the number of the request. */
    Map<Integer, Double> firstEventMillis() {
        return served.stream()
                .filter(one -> one.stream.firstEventMillis > 0)
                .collect(Collectors.toMap(
                        one -> one.request.number, one -> one.stream.firstEventMillis - one.request.atMillis));
    }

    private record Waiting(int number, long promptTokens, int events, long atMillis) {}

    private record Served(Waiting request, SimulatedEngine.Stream stream) {}
}
