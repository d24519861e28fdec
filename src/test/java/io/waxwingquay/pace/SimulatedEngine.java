package io.waxwingquay.pace;

import io.waxwingquay.fleet.RunningRequest;
import java.util.ArrayList;
import java.util.List;

/** Decodes a batch step by step, and reads up to a chunk of the waiting prompts in each step. */
final class SimulatedEngine {

    static final int TOKENS_PER_EVENT = 9;

    private static final long CHUNK_TOKENS = 2_048L;
    private static final double TOKENS_PER_MILLI = 38.4;
    private static final double STEP_MILLIS = 4.73;
    private static final double STEP_MILLIS_FOR_EACH = 0.06;

    private final List<Stream> active = new ArrayList<>();
    private double slowdown = 1.0;
    private int number;
    private double nowMillis;
    private double stepEndMillis;

    void slowdown(double factor) {
        slowdown = factor;
    }

    /** Returns the time for one event of a batch without prompts. */
    double eventMillis(int batch) {
        return TOKENS_PER_EVENT * (STEP_MILLIS + STEP_MILLIS_FOR_EACH * batch) * slowdown;
    }

    Stream add(long promptTokens, int events, long atMillis) {
        advance(atMillis);
        Stream stream = new Stream("s" + number++, promptTokens, events);
        active.add(stream);
        return stream;
    }

    List<RunningRequest> report(long atMillis) {
        advance(atMillis);
        return active.stream()
                .map(stream -> new RunningRequest(stream.id, stream.promptTokens, stream.producedEvents(), 1))
                .toList();
    }

    int running() {
        return active.size();
    }

    private void advance(double untilMillis) {
        while (true) {
            if (stepEndMillis <= nowMillis) {
                if (active.isEmpty()) {
                    nowMillis = untilMillis;
                    stepEndMillis = untilMillis;
                    return;
                }
                stepEndMillis = nowMillis + step();
            }
            if (stepEndMillis > untilMillis) {
                return;
            }
            nowMillis = stepEndMillis;
            active.forEach(stream -> stream.advance(nowMillis));
            active.removeIf(stream -> stream.producedEvents() >= stream.events);
        }
    }

    /** Starts a step, and returns how long it takes. */
    private double step() {
        long room = CHUNK_TOKENS;
        long batch = active.stream().filter(stream -> stream.unread == 0).count();
        for (Stream stream : active) {
            long read = Math.min(room, stream.unread);
            stream.decodes = stream.unread == 0;
            stream.unread -= read;
            room -= read;
        }
        double decodeMillis = batch == 0 ? 0 : STEP_MILLIS + STEP_MILLIS_FOR_EACH * batch;
        return (decodeMillis + (CHUNK_TOKENS - room) / TOKENS_PER_MILLI) * slowdown;
    }

    /** A request and what its caller has seen of it. */
    static final class Stream {

        private final String id;
        private final long promptTokens;
        private final int events;
        private long unread;
        private long tokens;
        private boolean decodes;
        private double lastEventMillis;
        double firstEventMillis;
        double longestPauseMillis;

        private Stream(String id, long promptTokens, int events) {
            this.id = id;
            this.promptTokens = promptTokens;
            this.events = events;
            this.unread = promptTokens;
        }

        private long producedEvents() {
            return tokens / TOKENS_PER_EVENT;
        }

        private void advance(double atMillis) {
            if (!decodes || ++tokens % TOKENS_PER_EVENT != 0) {
                return;
            }
            if (tokens == TOKENS_PER_EVENT) {
                firstEventMillis = atMillis;
            } else {
                longestPauseMillis = Math.max(longestPauseMillis, atMillis - lastEventMillis);
            }
            lastEventMillis = atMillis;
        }
    }
}
