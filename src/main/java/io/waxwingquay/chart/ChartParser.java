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
 * Reads one chart and collects all its faults.
 */
final class ChartParser<S extends Enum<S>, E extends Enum<E>> {

    private static final Pattern TRANSITION = Pattern.compile("(\\S+)\\s+--(\\S+)-->\\s+(\\S+)");

    private final String name;
    private final Class<S> states;
    private final Class<E> events;
    private final List<String> faults = new ArrayList<>();
    private final Map<S, Map<E, S>> transitions;
    private final Map<S, Set<E>> ignored;
    private final Map<S, Set<E>> illegal;
    private final Set<S> finals;
    private S initial;
    private int line;

    ChartParser(String name, Class<S> states, Class<E> events) {
        this.name = name;
        this.states = states;
        this.events = events;
        this.transitions = new EnumMap<>(states);
        this.ignored = new EnumMap<>(states);
        this.illegal = new EnumMap<>(states);
        this.finals = EnumSet.noneOf(states);
    }

    StateChart<S, E> parse(String text) {
        for (String source : text.split("\n")) {
            line++;
            String content = source.replaceFirst("#.*", "").strip();
            if (!content.isEmpty()) {
                readLine(content);
            }
        }
        check();
        if (!faults.isEmpty()) {
            throw new ChartException.Malformed(name, faults);
        }
        return new StateChart<>(name, initial, finals, transitions, ignored);
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
            case "ignore" -> declare(rest, ignored);
            case "illegal" -> declare(rest, illegal);
            default -> fault("'" + content + "' is not a line of a chart");
        }
    }

    private void setInitial(List<String> words) {
        if (initial != null || words.size() != 1) {
            fault("exactly one initial state is needed");
            return;
        }
        initial = state(words.get(0)).orElse(null);
    }

    private void addFinal(S state) {
        if (!finals.add(state)) {
            fault("final " + state + " stands twice");
        }
    }

    private void addTransition(String from, String through, String to) {
        Optional<S> source = state(from);
        Optional<E> event = event(through);
        Optional<S> target = state(to);
        if (source.isPresent() && event.isPresent() && target.isPresent()) {
            refuseDuplicate(source.get(), event.get());
            transitions
                    .computeIfAbsent(source.get(), key -> new EnumMap<>(events))
                    .put(event.get(), target.get());
        }
    }

    private void declare(List<String> words, Map<S, Set<E>> place) {
        if (words.size() < 2) {
            fault("a state and at least one event are needed");
            return;
        }
        state(words.get(0)).ifPresent(state -> words.subList(1, words.size())
                .forEach(word -> event(word).ifPresent(event -> declare(state, event, place))));
    }

    private void declare(S state, E event, Map<S, Set<E>> place) {
        refuseDuplicate(state, event);
        place.computeIfAbsent(state, key -> EnumSet.noneOf(events)).add(event);
    }

    private void refuseDuplicate(S state, E event) {
        if (isDeclared(state, event)) {
            fault("event " + event + " in state " + state + " stands twice");
        }
    }

    private boolean isDeclared(S state, E event) {
        return transitions.getOrDefault(state, Map.of()).containsKey(event)
                || ignored.getOrDefault(state, Set.of()).contains(event)
                || illegal.getOrDefault(state, Set.of()).contains(event);
    }

    private void check() {
        if (initial == null) {
            faults.add("no initial state");
            return;
        }
        checkMissing();
        Set<S> reached = closure(EnumSet.of(initial), false);
        Set<S> ending = finals.isEmpty() ? EnumSet.noneOf(states) : closure(EnumSet.copyOf(finals), true);
        for (S state : states.getEnumConstants()) {
            if (!reached.contains(state)) {
                faults.add("state " + state + " is unreachable");
            }
            if (!ending.contains(state)) {
                faults.add("state " + state + " has no way to a final state");
            }
        }
    }

    private void checkMissing() {
        for (S state : states.getEnumConstants()) {
            if (finals.contains(state) && !transitions.containsKey(state)) {
                continue;
            }
            Arrays.stream(events.getEnumConstants())
                    .filter(event -> !isDeclared(state, event))
                    .forEach(event -> faults.add("event " + event + " is missing in state " + state));
        }
    }

    private Set<S> closure(Set<S> start, boolean backwards) {
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
            fault("'" + word + "' is no " + what + " of " + type.getSimpleName());
        }
        return found;
    }

    private void fault(String message) {
        faults.add("line " + line + ": " + message);
    }
}
