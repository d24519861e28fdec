package io.waxwingquay.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.EOFException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads and writes JSON; a field that is missing or of another type reads as absent. */
final class JsonFields {

    static final JsonMapper MAPPER = new JsonMapper();

    private JsonFields() {}

    /** Reads a document; an empty one is an error, as a reply without a length may have been cut before its body. */
    static JsonNode read(byte[] bytes) throws IOException {
        JsonNode document = MAPPER.readTree(bytes);
        if (document.isMissingNode()) {
            throw new EOFException("the document is empty");
        }
        return document;
    }

    /** Reads a reply, which is an object; the fields of any other document would all read as absent. */
    static JsonNode readObject(byte[] bytes) throws IOException {
        JsonNode document = read(bytes);
        if (!document.isObject()) {
            throw new IOException("the document is no object");
        }
        return document;
    }

    static byte[] write(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException failure) {
            throw new IllegalArgumentException("a message can't be written: " + failure.getOriginalMessage(), failure);
        }
    }

    static Optional<String> text(JsonNode node, String field) {
        JsonNode value = node.get(field);
        return value != null && value.isTextual() && !value.textValue().isEmpty()
                ? Optional.of(value.textValue())
                : Optional.empty();
    }

    static Optional<Double> number(JsonNode node, String field) {
        JsonNode value = node.get(field);
        return value != null && value.isNumber() ? Optional.of(value.doubleValue()) : Optional.empty();
    }

    static long longOr(JsonNode node, String field, long fallback) {
        JsonNode value = node.get(field);
        return value != null && value.isNumber() ? value.longValue() : fallback;
    }

    static double doubleOr(JsonNode node, String field, double fallback) {
        return number(node, field).orElse(fallback);
    }

    static List<JsonNode> list(JsonNode node, String field) {
        List<JsonNode> items = new ArrayList<>();
        JsonNode value = node.get(field);
        if (value != null && value.isArray()) {
            value.forEach(items::add);
        }
        return items;
    }

    static List<String> texts(JsonNode node, String field) {
        return list(node, field).stream()
                .filter(JsonNode::isTextual)
                .map(JsonNode::textValue)
                .toList();
    }
}
