package io.waxwingquay.chart;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A state chart that is read from a text file, validated when it is loaded, and then interpreted.
 *
 * <p>Each line is one of {@code STATE --EVENT--> STATE}, {@code initial STATE}, {@code final STATE ...},
 * {@code ignore STATE EVENT ...} (the event may occur and has no effect) and {@code illegal STATE EVENT ...} (the event
 * is an error). {@code #} starts a comment. Every pair of a state and an event has to be declared, except in final
 * states without a transition, where any other event is illegal.
 *
 * @param <S> the type of the states.
 * @param <E> the type of the events.
 */
public final class StateChart<S extends Enum<S>, E extends Enum<E>> {

    private final String name;
    private final S initialState;
    private final Set<S> finalStates;
    private final Map<S, Map<E, S>> transitions;
    private final Map<S, Set<E>> ignoredEvents;

    StateChart(String name, S initial, Set<S> finals, Map<S, Map<E, S>> transitions, Map<S, Set<E>> ignored) {
        this.name = name;
        this.initialState = initial;
        this.finalStates = finals;
        this.transitions = transitions;
        this.ignoredEvents = ignored;
    }

    /**
     * Loads the chart {@code charts/<name>.chart} from the class path.
     *
     * @param name the chart's name.
     * @param states the states.
     * @param events the events.
     * @param <S> the states' type.
     * @param <E> the events' type.
     * @return the chart.
     * @throws ChartException.Malformed if the chart is missing or malformed; the message lists every fault.
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> load(
            String name, Class<S> states, Class<E> events) {
        return parse(name, readResource(name), states, events);
    }

    /**
     * Parses a chart.
     *
     * @param name the chart's name, for messages.
     * @param text the text of the chart.
     * @param states the states.
     * @param events the events.
     * @param <S> the states' type.
     * @param <E> the events' type.
     * @return the chart.
     * @throws ChartException.Malformed if the chart is malformed; the message lists every fault.
     */
    public static <S extends Enum<S>, E extends Enum<E>> StateChart<S, E> parse(
            String name, String text, Class<S> states, Class<E> events) {
        return new ChartParser<>(name, states, events).parse(text);
    }

    /**
     * Returns the initial state.
     *
     * @return the initial state.
     */
    public S initial() {
        return initialState;
    }

    /**
     * Checks whether a state is final.
     *
     * @param state the state.
     * @return whether it is final.
     */
    public boolean isFinal(S state) {
        return finalStates.contains(state);
    }

    /**
     * Returns the state that follows on an event.
     *
     * @param state the current state.
     * @param event the event.
     * @return the next state, or empty if the event is ignored in this state.
     * @throws ChartException.IllegalEvent if the event is illegal in this state.
     */
    public Optional<S> next(S state, E event) {
        S next = transitions.getOrDefault(state, Map.of()).get(event);
        if (next != null) {
            return Optional.of(next);
        }
        if (ignoredEvents.getOrDefault(state, Set.of()).contains(event)) {
            return Optional.empty();
        }
        throw new ChartException.IllegalEvent(name, state, event);
    }

    private static String readResource(String name) {
        try (InputStream stream = StateChart.class.getResourceAsStream("/charts/" + name + ".chart")) {
            if (stream == null) {
                throw new ChartException.Malformed(name, List.of("is not on the class path"));
            }
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException failure) {
            throw new ChartException.Malformed(name, List.of("cannot be read: " + failure.getMessage()));
        }
    }
}
