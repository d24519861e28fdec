package io.waxwingquay.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.waxwingquay.fleet.StoreVersion;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * A copy of one table as last read by this process, in the store's own format, so that a process which can't reach the
 * store can read it here in the same way.
 */
final class TableCopy {

    /** The field of a copy that names the timeline of the store, which the store itself names in a header. */
    static final String TIMELINE = "timeline";

    private final Map<String, JsonNode> rows = new LinkedHashMap<>();
    private final ToLongFunction<JsonNode> revision;
    private StoreVersion version = StoreVersion.NONE;

    /**
     * Creates an empty copy.
     *
     * @param revision the revision that the value of a row states itself; a store that was restored may hold a lower one
     *     than was read before, and then the row of the higher one stays.
     */
    TableCopy(ToLongFunction<JsonNode> revision) {
        this.revision = revision;
    }

    /** Replaces all rows with those read as of a version; an older version has no effect. */
    void replaceAll(StoreVersion newVersion, List<JsonNode> newRows) {
        if (version.isNewerThan(newVersion)) {
            return;
        }
        Set<String> keys = newRows.stream()
                .flatMap(row -> JsonFields.text(row, "key").stream())
                .collect(Collectors.toSet());
        rows.keySet().retainAll(keys);
        applyChanges(newVersion, newRows);
    }

    /** Applies changed and deleted rows; an older version has no effect. */
    void applyChanges(StoreVersion newVersion, List<JsonNode> changes) {
        if (version.isNewerThan(newVersion)) {
            return;
        }
        version = newVersion;
        changes.forEach(row -> JsonFields.text(row, "key").ifPresent(key -> {
            if (row.path("deleted").asBoolean(false)) {
                rows.remove(key);
            } else {
                rows.merge(key, row, this::laterRevision);
            }
        }));
    }

    private JsonNode laterRevision(JsonNode known, JsonNode read) {
        return revision.applyAsLong(known) > revision.applyAsLong(read) ? known : read;
    }

    /** Encodes all rows as one page; empty before the table was read. */
    Optional<byte[]> encode() {
        if (version.equals(StoreVersion.NONE)) {
            return Optional.empty();
        }
        ObjectNode page = JsonFields.MAPPER.createObjectNode();
        ArrayNode list = page.putArray("rows");
        rows.values().forEach(list::add);
        page.put(TIMELINE, version.timeline());
        page.put("ver", version.number());
        page.put("has_more", false);
        return Optional.of(JsonFields.write(page));
    }
}
