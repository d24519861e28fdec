package io.waxwingquay.observe;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.waxwingquay.common.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Supplier;

/**
 * Dumps the state of a process as JSON in named sections: {@code {"truncated": [...], "sections": {...}}}. The list
 * {@code truncated} names the sections that were truncated because the size of a dump is bounded.
 */
public final class StateDump {

    /** The maximum size of a dump in bytes. */
    public static final int MAX_BYTES = 1_000_000;

    private final Map<String, Supplier<Object>> sections = new ConcurrentSkipListMap<>();

    /**
     * Adds a section, or replaces the section of the same name.
     *
     * @param name the section's name, which must not change between releases.
     * @param state supplies the section's current state as a value that Jackson can serialize; it must not block.
     * @return this dump.
     */
    public StateDump section(String name, Supplier<Object> state) {
        sections.put(name, state);
        return this;
    }

    /**
     * Writes all sections as JSON. A section that fails is replaced by its error, so that the others are still visible.
     *
     * @return the JSON text.
     */
    public String toJson() {
        List<String> truncated = new ArrayList<>();
        ObjectNode sectionsNode = Json.MAPPER.createObjectNode();
        int sectionLimitBytes = MAX_BYTES / (sections.size() + 1);
        sections.forEach((name, state) -> {
            BoundedJsonCopy copy = new BoundedJsonCopy(sectionLimitBytes);
            sectionsNode.set(name, copy.copyOf(toTree(state)));
            if (copy.isTruncated()) {
                truncated.add(name);
            }
        });
        ObjectNode document = Json.MAPPER.createObjectNode();
        ArrayNode truncatedNames = document.putArray("truncated");
        truncated.forEach(truncatedNames::add);
        document.set("sections", sectionsNode);
        return write(document);
    }

    private static JsonNode toTree(Supplier<Object> state) {
        try {
            return Json.MAPPER.valueToTree(state.get());
        } catch (RuntimeException failure) {
            return Json.MAPPER.createObjectNode().set("error", TextNode.valueOf(String.valueOf(failure)));
        }
    }

    private static String write(ObjectNode document) {
        try {
            return Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(document);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException("the state dump could not be written", failure);
        }
    }
}
