package io.waxwingquay.observe;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.waxwingquay.common.Json;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Copies a JSON tree up to a maximum size and without fields that may hold secrets. Values that exceed the size are
 * left out.
 */
final class BoundedJsonCopy {

    private static final Pattern SECRET_FIELD =
            Pattern.compile("(?i).*(private_?key|secret|password|credential|authorization).*");

    // The punctuation, line break and first indentation of a pretty-printed value.
    private static final int VALUE_OVERHEAD_BYTES = 12;
    private static final int INDENT_BYTES = 2;

    private int remainingBytes;
    private boolean truncated;

    BoundedJsonCopy(int maxBytes) {
        this.remainingBytes = maxBytes;
    }

    JsonNode copyOf(JsonNode node) {
        return node == null ? NullNode.instance : copy(node, 1);
    }

    boolean isTruncated() {
        return truncated;
    }

    private JsonNode copy(JsonNode node, int depth) {
        if (node instanceof ObjectNode object) {
            return copyObject(object, depth);
        }
        return node instanceof ArrayNode array ? copyArray(array, depth) : node;
    }

    private JsonNode copyObject(ObjectNode object, int depth) {
        ObjectNode result = Json.MAPPER.createObjectNode();
        for (Map.Entry<String, JsonNode> field : object.properties()) {
            if (SECRET_FIELD.matcher(field.getKey()).matches()) {
                continue;
            }
            if (!reserveBytes(field.getValue(), field.getKey(), depth)) {
                break;
            }
            result.set(field.getKey(), copy(field.getValue(), depth + 1));
        }
        return result;
    }

    private JsonNode copyArray(ArrayNode array, int depth) {
        ArrayNode result = Json.MAPPER.createArrayNode();
        for (JsonNode item : array) {
            if (!reserveBytes(item, "", depth)) {
                break;
            }
            result.add(copy(item, depth + 1));
        }
        return result;
    }

    private boolean reserveBytes(JsonNode node, String name, int depth) {
        int leafBytes = node.isContainerNode() ? 0 : node.toString().getBytes(StandardCharsets.UTF_8).length;
        int nameBytes = name.getBytes(StandardCharsets.UTF_8).length;
        int neededBytes = leafBytes + nameBytes + VALUE_OVERHEAD_BYTES + 2 * INDENT_BYTES * depth;
        if (neededBytes > remainingBytes) {
            truncated = true;
            return false;
        }
        remainingBytes -= neededBytes;
        return true;
    }
}
