package io.waxwingquay.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * The faults that a stand-in simulates. A counted fault affects a given number of its next opportunities; the other
 * faults are settings that stay in force.
 */
public final class Faults {

    /** A count that is never used up. */
    public static final int UNLIMITED = Integer.MAX_VALUE;

    private final Map<Kind, Integer> counts = new EnumMap<>(Kind.class);
    private Settings settings = Settings.NONE;

    /** A kind of counted fault. */
    public enum Kind {
        /** Closes the connection of a request before the request has any effect. */
        OUT,
        /** Accepts a request without effect, never answers it and keeps its connection open. */
        SILENT,
        /** Closes the connection instead of answering, after the request has changed state. */
        LOSE_ANSWER,
        /** Closes the connection of an order and discards the order. */
        LOSE_ORDER,
        /** Closes the connection of an order and applies the order after {@link Settings#orderDelayMillis()}. */
        DELAY_ORDER,
        /** Acknowledges an order and discards it. */
        FORGET_ORDER,
        /** Stops sending on an open stream after {@link Settings#streamTokens()} tokens. */
        SILENT_STREAM,
        /** Ends the body of a stream properly but without end event, after {@link Settings#streamTokens()} tokens. */
        TRUNCATE_STREAM,
        /** Sends every token of a stream twice. */
        DUPLICATE_STREAM,
        /** Crashes an engine when a generation starts running. */
        CRASH,
        /** Serves the VM list as of {@link Settings#backwardsMillis()} earlier than its lag implies. */
        LIST_BACKWARDS
    }

    /**
     * The settings of faults. Applying them leaves every absent setting as it is.
     *
     * @param counts number of next opportunities that each fault affects; 0 clears the fault.
     * @param slowMillis delay before each request is handled.
     * @param orderDelayMillis delay after which a delayed order is applied.
     * @param streamTokens number of tokens sent before the fault of a stream.
     * @param crashMarker text that crashes the engine if a prompt contains it; an empty text clears the marker.
     * @param restartMillis time until a crashed engine is reachable again.
     * @param backwardsMillis additional age of a VM list that goes backwards.
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
         * Treats absent counts as empty, since a JSON body may omit them.
         */
        public Settings {
            counts = counts == null ? Map.of() : Map.copyOf(counts);
        }

        /**
         * Returns these settings with a delay of each request.
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
         * Returns these settings with a delay of delayed orders.
         *
         * @param millis the delay.
         * @return the new settings.
         */
        public Settings withOrderDelayMillis(long millis) {
            return new Settings(
                    counts, slowMillis, Optional.of(millis), streamTokens, crashMarker, restartMillis, backwardsMillis);
        }

        /**
         * Returns these settings with a number of tokens that a faulty stream sends before its fault.
         *
         * @param tokens the number of tokens.
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
         * Returns these settings with a crash marker and the downtime after a crash.
         *
         * @param marker the text in prompts that crashes the engine.
         * @param downtimeMillis time until the engine is reachable again.
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
         * Returns these settings with an additional age of VM lists that go backwards.
         *
         * @param millis the additional age.
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
     * Applies new settings over the present ones.
     *
     * @param newer the settings; absent ones leave the present ones in force.
     */
    public synchronized void apply(Settings newer) {
        counts.putAll(newer.counts());
        settings = newer.overriding(settings);
    }

    /**
     * Injects a fault into its next opportunities.
     *
     * @param kind the kind of fault.
     * @param times the number of opportunities, or {@link #UNLIMITED}.
     */
    public synchronized void inject(Kind kind, int times) {
        counts.put(kind, times);
    }

    /** Clears all counts and settings. */
    public synchronized void clear() {
        counts.clear();
        settings = Settings.NONE;
    }

    /**
     * Returns the settings in force.
     *
     * @return the settings, without counts.
     */
    public synchronized Settings settings() {
        return settings;
    }

    /**
     * Consumes one injected fault at an opportunity for it.
     *
     * @param kind the kind of fault.
     * @return whether the fault occurs.
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
