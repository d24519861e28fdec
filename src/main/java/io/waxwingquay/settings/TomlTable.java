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
 * One table of a document. Each typed reading notes the key as known; a fault is noted in the document and a
 * harmless value returned, so that reading goes on and all faults are told at once.
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
     * Reads a text that must be there and not be blank.
     *
     * @param key the key.
     * @return the text.
     */
    public String text(String key) {
        return required(key, "text in quotes").map(value -> asText(key, value)).orElse("");
    }

    /**
     * Reads a text that may be left out.
     *
     * @param key the key.
     * @param defaultValue the value when the key is left out.
     * @return the text.
     */
    public String text(String key, String defaultValue) {
        return optional(key, "text in quotes").map(value -> asText(key, value)).orElse(defaultValue);
    }

    /**
     * Reads a whole number that must be there.
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
     * Reads a whole number that may be left out.
     *
     * @param key the key.
     * @param defaultValue the value when the key is left out.
     * @param range the values allowed.
     * @return the number.
     */
    public long number(String key, long defaultValue, Range range) {
        return optional(key, range.toString())
                .map(value -> asNumber(key, value, range))
                .orElse(defaultValue);
    }

    /**
     * Reads a number with decimals that may be left out.
     *
     * @param key the key.
     * @param defaultValue the value when the key is left out.
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
     * Reads true or false; it may be left out.
     *
     * @param key the key.
     * @param defaultValue the value when the key is left out.
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
     * Reads one of a few words, written in lower case, that may be left out.
     *
     * @param key the key.
     * @param defaultValue the value when the key is left out.
     * @param <E> the words' type.
     * @return the word.
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
     * Reads a word that must be there; a missing one is told and read as {@code placeholder}.
     *
     * @param key the key.
     * @param placeholder stands in for a missing word while reading goes on.
     * @param <E> the words' type.
     * @return the word.
     */
    public <E extends Enum<E>> E requiredChoice(String key, E placeholder) {
        E value = choice(key, placeholder);
        if (!node.has(key)) {
            report(key, "is missing; write " + key + " = " + knownKeys.get(key));
        }
        return value;
    }

    /**
     * Reads a list of texts that may be left out and is then empty.
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
     * Reads an array of tables, such as {@code [[models]]}, that may be left out and is then empty.
     *
     * @param key the array's key.
     * @param reader turns one table into a value.
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
                report(key, "holds a value that is no table; write it under [[" + key + "]]");
            }
        }
        return values;
    }

    /**
     * Reads a table that may be left out.
     *
     * @param key the table's key.
     * @param reader turns the table into a value.
     * @param <T> the value's type.
     * @return the value, or empty if the table is left out.
     */
    public <T> Optional<T> table(String key, Function<TomlTable, T> reader) {
        Optional<JsonNode> value = optional(key, "table [" + key + "]");
        if (value.isPresent() && !(value.get() instanceof ObjectNode)) {
            return wrongType(key, "a table [" + key + "]", value.get(), Optional.empty());
        }
        return value.map(item -> readTable(label(key), (ObjectNode) item, path.table(key, 0), reader));
    }

    /**
     * Notes a fault that only the document's meaning shows.
     *
     * @param key the key at fault, or empty for the table as a whole.
     * @param message what is wrong and how to mend it.
     */
    public void report(String key, String message) {
        document.report(key.isEmpty() ? element : label(key), path.withKey(key), message);
    }

    /**
     * Whether any fault has been noted anywhere in the document so far.
     *
     * @return whether a fault was noted.
     */
    public boolean hasProblems() {
        return document.problemCount() > 0;
    }

    /**
     * Lists the keys that were read, each with the values it may take; documentation is tested against it.
     *
     * @return the allowed values by key, in the order of reading.
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
