package io.waxwingquay.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown when a document is invalid, with all problems found in it.
 */
public final class SettingsException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    /**
     * Creates an exception for an invalid document.
     *
     * @param source the document's name.
     * @param problems the problems found in it.
     */
    public SettingsException(String source, List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n  ", source + ":\n  ", "")));
        this.problems = List.copyOf(problems);
    }

    /**
     * Lists the problems of the document.
     *
     * @return all problems, in the order in which they were found.
     */
    public List<Problem> problems() {
        return problems;
    }
}
