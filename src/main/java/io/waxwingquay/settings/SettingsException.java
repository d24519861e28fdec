package io.waxwingquay.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A document that was refused, with every problem found in it.
 */
public final class SettingsException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    /**
     * A refused document.
     *
     * @param source the name of the document.
     * @param problems what is wrong with it.
     */
    public SettingsException(String source, List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n  ", source + ":\n  ", "")));
        this.problems = List.copyOf(problems);
    }

    /**
     * Lists what is wrong.
     *
     * @return every problem, in order of the document's keys.
     */
    public List<Problem> problems() {
        return problems;
    }
}
