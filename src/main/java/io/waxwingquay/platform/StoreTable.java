package io.waxwingquay.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.waxwingquay.fleet.StoreException;
import io.waxwingquay.fleet.StoreVersion;
import io.waxwingquay.fleet.WatchedTable;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

/**
 * A table of the platform's store.
 *
 * @param <T> the type of a decoded row.
 */
final class StoreTable<T> implements WatchedTable<T> {

    /** Maximum number of rows that the store returns in one reply. */
    private static final int PAGE_ROWS = 500;

    private static final int OK = 200;
    private static final int GONE = 410;
    private static final System.Logger LOG = System.getLogger("waxwingquay.platform");

    private final PlatformClient store;
    private final String name;
    private final BiFunction<String, JsonNode, Optional<T>> decoder;
    private final TableCopy copy;

    StoreTable(PlatformClient store, String name, BiFunction<String, JsonNode, Optional<T>> decoder, TableCopy copy) {
        this.store = store;
        this.name = name;
        this.decoder = decoder;
        this.copy = copy;
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Page<T>> readAll() {
        return readFrom("", new ArrayList<>(), Optional.empty());
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Page<T>> changesAfter(StoreVersion version, long waitMillis) {
        String target = "/rows-feed?table=" + name + "&after=" + version.number() + "&wait_ms=" + waitMillis;
        return store.get(target, waitMillis).thenApply(reply -> {
            if (reply.status() == GONE) {
                throw new StoreException.HistoryLost(name);
            }
            JsonNode body = body(reply);
            List<JsonNode> changes = JsonFields.list(body, "rows");
            StoreVersion newVersion = version(reply, body, version.number());
            if (newVersion.isOnLaterTimelineThan(version)) {
                // These are the changes after the same number on another timeline, so others may be missing.
                throw new StoreException.HistoryLost(name);
            }
            copy.applyChanges(newVersion, changes);
            return new Page<>(newVersion, rows(changes));
        });
    }

    private CompletableFuture<Page<T>> readFrom(
            String from, List<JsonNode> rowsSoFar, Optional<StoreVersion> previousPage) {
        String target =
                "/rows-get?table=" + name + "&part=&limit=" + PAGE_ROWS + (from.isEmpty() ? "" : "&from=" + from);
        return store.get(target, 0).thenCompose(reply -> {
            JsonNode body = body(reply);
            if (!body.path("rows").isArray()) {
                // Read as a table without rows, it would take all of them out of use.
                throw new StoreException("table " + name + " was answered without rows");
            }
            StoreVersion version = version(reply, body, 0L);
            if (previousPage.filter(version::isOnLaterTimelineThan).isPresent()) {
                throw new StoreException("the store was restored while table " + name + " was read");
            }
            rowsSoFar.addAll(JsonFields.list(body, "rows"));
            if (!body.path("has_more").asBoolean(false) || rowsSoFar.isEmpty()) {
                copy.replaceAll(version, rowsSoFar);
                return CompletableFuture.completedFuture(new Page<>(version, rows(rowsSoFar)));
            }
            // Keys are in byte order; the next page starts directly after the last key.
            String lastKey = rowsSoFar.get(rowsSoFar.size() - 1).path("key").asText();
            return readFrom(
                    URLEncoder.encode(lastKey, StandardCharsets.UTF_8).replace("+", "%20") + "%00",
                    rowsSoFar,
                    Optional.of(version));
        });
    }

    /** Returns the version of a reply of the store, or of the copy of a process, which names its timeline in the body. */
    private static StoreVersion version(PlatformClient.Reply reply, JsonNode body, long fallbackNumber) {
        long timeline = JsonFields.longOr(body, TableCopy.TIMELINE, HeaderCodec.storeTimeline(reply.fields()));
        return new StoreVersion(timeline, JsonFields.longOr(body, "ver", fallbackNumber));
    }

    private JsonNode body(PlatformClient.Reply reply) {
        if (reply.status() != OK) {
            throw new StoreException("table " + name + " was answered with status " + reply.status());
        }
        try {
            return JsonFields.readObject(reply.body());
        } catch (IOException failure) {
            throw new StoreException("table " + name + " was answered with a body that can't be parsed: " + failure);
        }
    }

    private List<Row<T>> rows(List<JsonNode> nodes) {
        return nodes.stream()
                .filter(row -> JsonFields.text(row, "key").isPresent())
                .map(row -> row(row.get("key").textValue(), row))
                .toList();
    }

    private Row<T> row(String key, JsonNode row) {
        long number = JsonFields.longOr(row, "ver", 0L);
        if (row.path("deleted").asBoolean(false)) {
            return new Row<>(key, Optional.empty(), number);
        }
        return new Row<>(key, value(key, row), number);
    }

    private Optional<T> value(String key, JsonNode row) {
        try {
            byte[] bytes =
                    Base64.getDecoder().decode(JsonFields.text(row, "value").orElse(""));
            Optional<T> value = decoder.apply(key, JsonFields.read(bytes));
            if (value.isEmpty()) {
                LOG.log(System.Logger.Level.INFO, "platform: row ignored table={0} key={1}", name, key);
            }
            return value;
        } catch (IOException | RuntimeException failure) {
            LOG.log(System.Logger.Level.INFO, "platform: row can''t be decoded table={0} key={1}", name, key);
            return Optional.empty();
        }
    }
}
