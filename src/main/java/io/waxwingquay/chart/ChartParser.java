package io.waxwingquay.chart;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses one chart and collects all its faults.
 */
final class ChartParser<S extends Enum<S>, E extends Enum<E>> {

    private static final Pattern TRANSITION = Pattern.compile("(\\S+)\\s+--(\\S+)-->\\s+(\\S+)");

    private final String name;
    private final Class<S> states;
    private final Class<E> events;
    private final List<String> faults = new ArrayList<>();
    private final Map<S, Map<E, S>> transitions;
    private final Map<S, Set<E>> ignoredEvents;
    private final Map<S, Set<E>> illegalEvents;
    private final Set<S> finalStates;
    private S initialState;
    private int lineNumber;

    ChartParser(String name, Class<S> states, Class<E> events) {
        this.name = name;
        this.states = states;
        this.events = events;
        this.transitions = new EnumMap<>(states);
        this.ignoredEvents = new EnumMap<>(states);
        this.illegalEvents = new EnumMap<>(states);
        this.finalStates = EnumSet.noneOf(states);
    }

    StateChart<S, E> parse(String text) {
        for (String source : text.split("\n")) {
            lineNumber++;
            String content = source.replaceFirst("#.*", "").strip();
            if (!content.isEmpty()) {
                readLine(content);
            }
        }
        checkStates();
        if (!faults.isEmpty()) {
            throw new ChartException.Malformed(name, faults);
        }
        return new StateChart<>(name, initialState, finalStates, transitions, ignoredEvents);
    }

    private void readLine(String content) {
        Matcher transition = TRANSITION.matcher(content);
        if (transition.matches()) {
            addTransition(transition.group(1), transition.group(2), transition.group(3));
            return;
        }
        List<String> words = Arrays.asList(content.split("\\s+"));
        List<String> rest = words.subList(1, words.size());
        switch (words.get(0)) {
            case "initial" -> setInitial(rest);
            case "final" -> rest.forEach(word -> state(word).ifPresent(this::addFinal));
            case "ignore" -> declare(rest, ignoredEvents);
            case "illegal" -> declare(rest, illegalEvents);
            default -> addFault("'" + content + "' is not a line of a chart");
        }
    }

    private void setInitial(List<String> words) {
        if (initialState != null || words.size() != 1) {
            addFault("'initial' needs exactly one state and may occur once");
            return;
        }
        initialState = state(words.get(0)).orElse(null);
    }

    private void addFinal(S state) {
        if (!finalStates.add(state)) {
            addFault("final " + state + " stands twice");
        }
    }

    private void addTransition(String sourceName, String eventName, String targetName) {
        Optional<S> source = state(sourceName);
        Optional<E> event = event(eventName);
        Optional<S> target = state(targetName);
        if (source.isPresent() && event.isPresent() && target.isPresent()) {
            reportDuplicate(source.get(), event.get());
            transitions
                    .computeIfAbsent(source.get(), key -> new EnumMap<>(events))
                    .put(event.get(), target.get());
        }
    }

    private void declare(List<String> words, Map<S, Set<E>> declarations) {
        if (words.size() < 2) {
            addFault("'ignore' and 'illegal' need a state and at least one event");
            return;
        }
        state(words.get(0)).ifPresent(state -> words.subList(1, words.size())
                .forEach(word -> event(word).ifPresent(event -> declare(state, event, declarations))));
    }

    private void declare(S state, E event, Map<S, Set<E>> declarations) {
        reportDuplicate(state, event);
        declarations.computeIfAbsent(state, key -> EnumSet.noneOf(events)).add(event);
    }

    private void reportDuplicate(S state, E event) {
        if (isDeclared(state, event)) {
            addFault("event " + event + " in state " + state + " stands twice");
        }
    }

    private boolean isDeclared(S state, E event) {
        return transitions.getOrDefault(state, Map.of()).containsKey(event)
                || ignoredEvents.getOrDefault(state, Set.of()).contains(event)
                || illegalEvents.getOrDefault(state, Set.of()).contains(event);
    }

    private void checkStates() {
        if (initialState == null) {
            faults.add("no initial state");
            return;
        }
        checkUndeclaredEvents();
        Set<S> reached = reachableFrom(EnumSet.of(initialState), false);
        Set<S> terminating =
                finalStates.isEmpty() ? EnumSet.noneOf(states) : reachableFrom(EnumSet.copyOf(finalStates), true);
        for (S state : states.getEnumConstants()) {
            if (!reached.contains(state)) {
                faults.add("state " + state + " is unreachable");
            }
            if (!terminating.contains(state)) {
                faults.add("state " + state + " has no way to a final state");
            }
        }
    }

    private void checkUndeclaredEvents() {
        for (S state : states.getEnumConstants()) {
            if (finalStates.contains(state) && !transitions.containsKey(state)) {
                continue;
            }
            Arrays.stream(events.getEnumConstants())
                    .filter(event -> !isDeclared(state, event))
                    .forEach(event -> faults.add("event " + event + " is missing in state " + state));
        }
    }

    private Set<S> reachableFrom(Set<S> start, boolean backwards) {
        Set<S> found = EnumSet.copyOf(start);
        Deque<S> open = new ArrayDeque<>(start);
        while (!open.isEmpty()) {
            S state = open.pop();
            neighbours(state, backwards).stream().filter(found::add).forEach(open::push);
        }
        return found;
    }

    private Set<S> neighbours(S state, boolean backwards) {
        Set<S> result = EnumSet.noneOf(states);
        if (!backwards) {
            result.addAll(transitions.getOrDefault(state, Map.of()).values());
            return result;
        }
        transitions.forEach((from, byEvent) -> {
            if (byEvent.containsValue(state)) {
                result.add(from);
            }
        });
        return result;
    }

    private Optional<S> state(String word) {
        return constant(states, word, "state");
    }

    private Optional<E> event(String word) {
        return constant(events, word, "event");
    }

    private <T extends Enum<T>> Optional<T> constant(Class<T> type, String word, String what) {
        Optional<T> found = Arrays.stream(type.getEnumConstants())
                .filter(constant -> constant.name().equals(word))
                .findFirst();
        if (found.isEmpty()) {
            addFault("'" + word + "' is no " + what + " of " + type.getSimpleName());
        }
        return found;
    }

    private void addFault(String message) {
        faults.add("line " + lineNumber + ": " + message);
    }
}
