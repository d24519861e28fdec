package io.waxwingquay.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * The faults a stand-in shows. Counted faults hit the next so many chances; the rest are settings.
 */
public final class Faults {

    /** A count that never runs out. */
    public static final int UNLIMITED = Integer.MAX_VALUE;

    private final Map<Kind, Integer> counts = new EnumMap<>(Kind.class);
    private Settings settings = Settings.NONE;

    /** What can be counted. */
    public enum Kind {
        /** Close the connection of a request before it has any effect. */
        OUT,
        /** Take a request without effect, never answer it, and keep its connection open. */
        SILENT,
        /** Close the connection after a write took effect. */
        LOSE_ANSWER,
        /** Close the connection of an order, which never arrives. */
        LOSE_ORDER,
        /** Close the connection of an order, which arrives after {@link Settings#orderDelayMillis()}. */
        DELAY_ORDER,
        /** Take an order and forget it. */
        FORGET_ORDER,
        /** Go silent on an open stream after {@link Settings#streamTokens()} tokens. */
        SILENT_STREAM,
        /** Finish a stream's body in order, but without its end event, after {@link Settings#streamTokens()} tokens. */
        TRUNCATE_STREAM,
        /** Send every token of a stream twice. */
        DUPLICATE_STREAM,
        /** Crash an engine when a generation starts running. */
        CRASH,
        /** Show a VM list from {@link Settings#backwardsMillis()} before its lag. */
        LIST_BACKWARDS
    }

    /**
     * Settings of faults; an absent one is left as it is.
     *
     * @param counts how many of the next chances each fault hits; 0 clears it.
     * @param slowMillis added before each request is handled.
     * @param orderDelayMillis how late a delayed order arrives.
     * @param streamTokens tokens sent before a stream's fault.
     * @param crashMarker a prompt that contains this crashes the engine; an empty text clears it.
     * @param restartMillis how long a crashed engine stays away.
     * @param backwardsMillis how far back a list goes.
     */
    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    public record Settings(
            Map<Kind, Integer> counts,
            Optional<Long> slowMillis,
            Optional<Long> orderDelayMillis,
            Optional<Long> streamTokens,
            Optional<String> crashMarker,
            Optional<Long> restartMillis,
            Optional<Long> backwardsMillis) {

        /** Settings that change nothing. */
        public static final Settings NONE = new Settings(
                Map.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());

        /**
         * Takes absent counts as none, as a JSON body may leave them out.
         */
        public Settings {
            counts = counts == null ? Map.of() : Map.copyOf(counts);
        }

        /**
         * Sets the delay of each request.
         *
         * @param millis the delay.
         * @return the new settings.
         */
        public Settings withSlowMillis(long millis) {
            return new Settings(
                    counts,
                    Optional.of(millis),
                    orderDelayMillis,
                    streamTokens,
                    crashMarker,
                    restartMillis,
                    backwardsMillis);
        }

        /**
         * Sets how late a delayed order arrives.
         *
         * @param millis the delay.
         * @return the new settings.
         */
        public Settings withOrderDelayMillis(long millis) {
            return new Settings(
                    counts, slowMillis, Optional.of(millis), streamTokens, crashMarker, restartMillis, backwardsMillis);
        }

        /**
         * Sets how many tokens a faulty stream still sends.
         *
         * @param tokens the tokens.
         * @return the new settings.
         */
        public Settings withStreamTokens(long tokens) {
            return new Settings(
                    counts,
                    slowMillis,
                    orderDelayMillis,
                    Optional.of(tokens),
                    crashMarker,
                    restartMillis,
                    backwardsMillis);
        }

        /**
         * Sets which prompts crash an engine, and how long it stays away.
         *
         * @param marker part of such a prompt.
         * @param downtimeMillis how long the engine stays away.
         * @return the new settings.
         */
        public Settings withCrash(String marker, long downtimeMillis) {
            return new Settings(
                    counts,
                    slowMillis,
                    orderDelayMillis,
                    streamTokens,
                    Optional.of(marker),
                    Optional.of(downtimeMillis),
                    backwardsMillis);
        }

        /**
         * Sets how far back a list goes.
         *
         * @param millis how far.
         * @return the new settings.
         */
        public Settings withBackwardsMillis(long millis) {
            return new Settings(
                    counts,
                    slowMillis,
                    orderDelayMillis,
                    streamTokens,
                    crashMarker,
                    restartMillis,
                    Optional.of(millis));
        }

        private Settings overriding(Settings older) {
            return new Settings(
                    Map.of(),
                    slowMillis.or(older::slowMillis),
                    orderDelayMillis.or(older::orderDelayMillis),
                    streamTokens.or(older::streamTokens),
                    crashMarker.or(older::crashMarker),
                    restartMillis.or(older::restartMillis),
                    backwardsMillis.or(older::backwardsMillis));
        }
    }

    /**
     * Takes over new settings.
     *
     * @param newer the settings; what is absent stays.
     */
    public synchronized void apply(Settings newer) {
        counts.putAll(newer.counts());
        settings = newer.overriding(settings);
    }

    /**
     * Makes the next chances faulty.
     *
     * @param kind the fault.
     * @param times how many, or {@link #UNLIMITED}.
     */
    public synchronized void inject(Kind kind, int times) {
        counts.put(kind, times);
    }

    /** Ends every fault. */
    public synchronized void clear() {
        counts.clear();
        settings = Settings.NONE;
    }

    /**
     * The settings in force.
     *
     * @return the settings, without counts.
     */
    public synchronized Settings settings() {
        return settings;
    }

    /**
     * Uses up one chance.
     *
     * @param kind the fault.
     * @return whether the fault hits.
     */
    synchronized boolean consume(Kind kind) {
        int remaining = counts.getOrDefault(kind, 0);
        if (remaining > 0 && remaining != UNLIMITED) {
            counts.put(kind, remaining - 1);
        }
        return remaining > 0;
    }

    boolean crashesOn(String prompt) {
        boolean marked = settings()
                .crashMarker()
                .filter(marker -> !marker.isEmpty() && prompt.contains(marker))
                .isPresent();
        return marked || consume(Kind.CRASH);
    }
}
