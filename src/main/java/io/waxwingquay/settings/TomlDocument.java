package io.waxwingquay.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.function.Function;

/**
 * A TOML document that is read strictly: all problems are collected and then reported together.
 */
public final class TomlDocument {

    private static final TomlMapper MAPPER = new TomlMapper();

    private final String source;
    private final LineIndex lines;
    private final JsonNode root;
    private final List<Problem> problems = new ArrayList<>();

    private TomlDocument(String source, LineIndex lines, JsonNode root) {
        this.source = source;
        this.lines = lines;
        this.root = root;
    }

    /**
     * Reads a whole document.
     *
     * @param source the document's name, used in messages.
     * @param bytes the document.
     * @param reader converts the root table to a value and reports problems to that table.
     * @param <T> the value's type.
     * @return the value.
     * @throws SettingsException if the document has any problem; the exception lists all of them.
     */
    public static <T> T read(String source, byte[] bytes, Function<TomlTable, T> reader) {
        TomlDocument document = parse(source, bytes);
        TomlTable table = new TomlTable(document, (ObjectNode) document.root, "", TomlPath.ROOT);
        T value = reader.apply(table);
        table.reportUnknownKeys();
        if (!document.problems.isEmpty()) {
            throw new SettingsException(source, document.problems);
        }
        return value;
    }

    private static TomlDocument parse(String source, byte[] bytes) {
        LineIndex lines = LineIndex.of(new String(bytes, StandardCharsets.UTF_8));
        try {
            return new TomlDocument(source, lines, MAPPER.readTree(bytes));
        } catch (JsonProcessingException failure) {
            throw new SettingsException(source, List.of(syntaxProblem(failure)));
        } catch (IOException failure) {
            throw new SettingsException(
                    source, List.of(new Problem("document", OptionalInt.empty(), failure.getMessage())));
        }
    }

    private static Problem syntaxProblem(JsonProcessingException failure) {
        OptionalInt line = failure.getLocation() == null
                ? OptionalInt.empty()
                : OptionalInt.of(failure.getLocation().getLineNr());
        return new Problem("document", line, "is not valid TOML: " + failure.getOriginalMessage());
    }

    void report(String element, TomlPath path, String message) {
        problems.add(new Problem(element, lines.lineOf(path), message));
    }

    int problemCount() {
        return problems.size();
    }
}
