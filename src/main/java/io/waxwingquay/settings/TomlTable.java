package io.waxwingquay.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * A table of a document. Each typed read records its key as known. An invalid value is reported to the document and
 * replaced by a valid placeholder, so that reading continues and all problems are reported together.
 */
public final class TomlTable {

    private static final int MAX_SUGGESTION_DISTANCE = 3;

    private final TomlDocument document;
    private final ObjectNode node;
    private final String element;
    private final TomlPath path;
    private final Map<String, String> knownKeys = new LinkedHashMap<>();

    TomlTable(TomlDocument document, ObjectNode node, String element, TomlPath path) {
        this.document = document;
        this.node = node;
        this.element = element;
        this.path = path;
    }

    /**
     * Reads a required text, which must not be blank.
     *
     * @param key the key.
     * @return the text.
     */
    public String text(String key) {
        return required(key, "text in quotes").map(value -> asText(key, value)).orElse("");
    }

    /**
     * Reads an optional text, which must not be blank.
     *
     * @param key the key.
     * @param defaultValue the value if the key is missing.
     * @return the text.
     */
    public String text(String key, String defaultValue) {
        return optional(key, "text in quotes").map(value -> asText(key, value)).orElse(defaultValue);
    }

    /**
     * Reads a required whole number.
     *
     * @param key the key.
     * @param range the values allowed.
     * @return the number.
     */
    public long number(String key, Range range) {
        return required(key, range.toString())
                .map(value -> asNumber(key, value, range))
                .orElse(range.low());
    }

    /**
     * Reads an optional whole number.
     *
     * @param key the key.
     * @param defaultValue the value if the key is missing.
     * @param range the values allowed.
     * @return the number.
     */
    public long number(String key, long defaultValue, Range range) {
        return optional(key, range.toString())
                .map(value -> asNumber(key, value, range))
                .orElse(defaultValue);
    }

    /**
     * Reads an optional number that may have decimals.
     *
     * @param key the key.
     * @param defaultValue the value if the key is missing.
     * @param range the values allowed.
     * @return the number.
     */
    public double decimal(String key, double defaultValue, Range range) {
        Optional<JsonNode> value = optional(key, range.toString());
        if (value.isEmpty()) {
            return defaultValue;
        }
        if (!value.get().isNumber()) {
            return wrongType(key, "a number, " + range, value.get(), defaultValue);
        }
        double number = value.get().doubleValue();
        return range.contains(number) ? number : outOfRange(key, value.get().asText(), range.toString(), defaultValue);
    }

    /**
     * Reads an optional boolean.
     *
     * @param key the key.
     * @param defaultValue the value if the key is missing.
     * @return the value.
     */
    public boolean flag(String key, boolean defaultValue) {
        Optional<JsonNode> value = optional(key, "true or false");
        if (value.isPresent() && !value.get().isBoolean()) {
            return wrongType(key, "true or false", value.get(), defaultValue);
        }
        return value.map(JsonNode::booleanValue).orElse(defaultValue);
    }

    /**
     * Reads an optional enum constant, which is written in lower case.
     *
     * @param key the key.
     * @param defaultValue the value if the key is missing.
     * @param <E> the enum type.
     * @return the constant.
     */
    public <E extends Enum<E>> E choice(String key, E defaultValue) {
        String words = Arrays.stream(defaultValue.getDeclaringClass().getEnumConstants())
                .map(TomlTable::word)
                .collect(Collectors.joining(" | "));
        Optional<String> text = optional(key, words).map(value -> asText(key, value));
        if (text.isEmpty()) {
            return defaultValue;
        }
        return Arrays.stream(defaultValue.getDeclaringClass().getEnumConstants())
                .filter(constant -> word(constant).equals(text.get()))
                .findFirst()
                .orElseGet(() -> outOfRange(key, "'" + text.get() + "'", words, defaultValue));
    }

    /**
     * Reads a required enum constant; a missing one is reported and read as {@code placeholder}.
     *
     * @param key the key.
     * @param placeholder the value for a missing or invalid one, with which reading continues.
     * @param <E> the enum type.
     * @return the constant.
     */
    public <E extends Enum<E>> E requiredChoice(String key, E placeholder) {
        E value = choice(key, placeholder);
        if (!node.has(key)) {
            report(key, "is missing; write " + key + " = " + knownKeys.get(key));
        }
        return value;
    }

    /**
     * Reads an optional list of texts, which is empty by default.
     *
     * @param key the key.
     * @return the texts.
     */
    public List<String> texts(String key) {
        return list(key, "list of texts in quotes").stream()
                .map(value -> asText(key, value))
                .toList();
    }

    /**
     * Reads an optional array of tables, such as {@code [[models]]}, which is empty by default.
     *
     * @param key the array's key.
     * @param reader converts one table to a value.
     * @param <T> the value's type.
     * @return the values, in order.
     */
    public <T> List<T> tables(String key, Function<TomlTable, T> reader) {
        List<T> values = new ArrayList<>();
        List<JsonNode> items = list(key, "tables [[" + key + "]]");
        for (int index = 0; index < items.size(); index++) {
            if (items.get(index) instanceof ObjectNode item) {
                values.add(readTable(label(key, index, item), item, path.table(key, index), reader));
            } else {
                report(key, "holds a value that is not a table; write it under [[" + key + "]]");
            }
        }
        return values;
    }

    /**
     * Reads an optional table.
     *
     * @param key the table's key.
     * @param reader converts the table to a value.
     * @param <T> the value's type.
     * @return the value, or empty if the table is missing.
     */
    public <T> Optional<T> table(String key, Function<TomlTable, T> reader) {
        Optional<JsonNode> value = optional(key, "table [" + key + "]");
        if (value.isPresent() && !(value.get() instanceof ObjectNode)) {
            return wrongType(key, "a table [" + key + "]", value.get(), Optional.empty());
        }
        return value.map(item -> readTable(label(key), (ObjectNode) item, path.table(key, 0), reader));
    }

    /**
     * Reports a problem that follows from the meaning of the values rather than from their types.
     *
     * @param key the key with the invalid value, or empty for the table as a whole.
     * @param message what is wrong and how to correct it.
     */
    public void report(String key, String message) {
        document.report(key.isEmpty() ? element : label(key), path.withKey(key), message);
    }

    /**
     * Returns whether any problem of the document has been reported so far.
     *
     * @return whether a problem was reported.
     */
    public boolean hasProblems() {
        return document.problemCount() > 0;
    }

    /**
     * Returns the keys that were read and the values that each allows; tests compare the documentation with them.
     *
     * @return the allowed values by key.
     */
    public Map<String, String> knownKeys() {
        return Map.copyOf(knownKeys);
    }

    void reportUnknownKeys() {
        node.fieldNames().forEachRemaining(key -> {
            if (!knownKeys.containsKey(key)) {
                report(key, "is no known key; " + suggestion(key));
            }
        });
    }

    private String suggestion(String key) {
        String similarKeys = knownKeys.keySet().stream()
                .filter(known -> EditDistance.between(known, key) <= MAX_SUGGESTION_DISTANCE || known.contains(key))
                .sorted()
                .collect(Collectors.joining(", "));
        return similarKeys.isEmpty()
                ? "remove it; known keys are " + String.join(", ", knownKeys.keySet())
                : "did you mean " + similarKeys + "?";
    }

    private <T> T readTable(String name, ObjectNode item, TomlPath tablePath, Function<TomlTable, T> reader) {
        TomlTable table = new TomlTable(document, item, name, tablePath);
        T value = reader.apply(table);
        table.reportUnknownKeys();
        return value;
    }

    private Optional<JsonNode> required(String key, String allowed) {
        Optional<JsonNode> value = optional(key, allowed);
        if (value.isEmpty()) {
            report(key, "is missing; write " + key + " = " + allowed);
        }
        return value;
    }

    private Optional<JsonNode> optional(String key, String allowed) {
        knownKeys.put(key, allowed);
        return Optional.ofNullable(node.get(key));
    }

    private List<JsonNode> list(String key, String allowed) {
        Optional<JsonNode> value = optional(key, allowed);
        if (value.isPresent() && !(value.get() instanceof ArrayNode)) {
            return wrongType(key, "a " + allowed, value.get(), List.of());
        }
        List<JsonNode> items = new ArrayList<>();
        value.ifPresent(array -> array.forEach(items::add));
        return items;
    }

    private String asText(String key, JsonNode value) {
        if (!value.isTextual()) {
            return wrongType(key, "text in quotes", value, "");
        }
        if (value.textValue().isBlank()) {
            report(key, "is blank; write a text");
        }
        return value.textValue();
    }

    private long asNumber(String key, JsonNode value, Range range) {
        if (!value.isIntegralNumber()) {
            return wrongType(key, "a whole number, " + range, value, range.low());
        }
        if (!value.canConvertToLong() || !range.contains(value.longValue())) {
            return outOfRange(key, value.asText(), range.toString(), range.low());
        }
        return value.longValue();
    }

    private <T> T wrongType(String key, String expected, JsonNode value, T fallback) {
        report(key, "is " + value.getNodeType().name().toLowerCase(Locale.ROOT) + "; write " + expected);
        return fallback;
    }

    private <T> T outOfRange(String key, String found, String allowed, T fallback) {
        report(key, "is " + found + ", which is not allowed; write " + allowed);
        return fallback;
    }

    private String label(String key) {
        return element.isEmpty() ? key : element + "." + key;
    }

    private String label(String key, int index, ObjectNode item) {
        JsonNode name = item.has("name") ? item.get("name") : item.get("id");
        String suffix = name == null ? "" : " '" + name.asText() + "'";
        return label(key) + "[" + (index + 1) + "]" + suffix;
    }

    private static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
