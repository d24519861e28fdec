package io.waxwingquay.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.waxwingquay.fleet.StoreException;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.suspect.QuarantineArchive;
import io.waxwingquay.transport.generated.PromptPartNews;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;

/**
 * Quarantined prompt parts in a table of the store, one row each; the key is the hash of the part in hexadecimal. Rows name
 * the store's own clock for their expiry, and those that have expired are removed with the next write.
 */
final class QuarantineTable implements QuarantineArchive {

    private static final String TABLE = "quarantine";
    private static final int HEX = 16;
    private static final int OK = 200;

    /** The store's steady clock, in milliseconds, in each of its answers. */
    private static final String STORE_CLOCK = "now_ms";

    private static final String EXPIRY = "expires_at_ms";
    private static final String CRASHES = "crashes";
    private static final String WHOLE_REQUEST = "whole_request";

    private final PlatformClient store;
    private final List<String> expiredKeys = new ArrayList<>();
    private long clockOffsetMillis;

    QuarantineTable(PlatformClient store) {
        this.store = store;
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<List<PromptPartNews>> readAll() {
        return store.get("/rows-get?table=" + TABLE + "&part=&limit=500", 0).thenApply(reply -> {
            JsonNode body = body(reply);
            clockOffsetMillis = JsonFields.longOr(body, STORE_CLOCK, 0L) - EventLoop.nowMillis();
            expiredKeys.clear();
            return JsonFields.list(body, "rows").stream()
                    .map(this::decode)
                    .flatMap(Optional::stream)
                    .toList();
        });
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Void> write(PromptPartNews record) {
        ObjectNode value = JsonFields.MAPPER.createObjectNode();
        ObjectNode crashes = value.putObject(CRASHES);
        record.getWeightByCrash().forEach((crash, weight) -> crashes.put(Long.toHexString(crash), weight));
        value.put(EXPIRY, storeMillis() + record.getRemainingMillis());
        value.put(WHOLE_REQUEST, record.isWholeRequest());
        ObjectNode transaction = transaction(expiredKeys);
        row(((ArrayNode) transaction.get("writes")).addObject(), Long.toHexString(record.getPart()))
                .put("value", Base64.getEncoder().encodeToString(JsonFields.write(value)));
        return commit(transaction);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Void> remove(long part) {
        return commit(transaction(List.of(Long.toHexString(part))));
    }

    private Optional<PromptPartNews> decode(JsonNode row) {
        String key = JsonFields.text(row, "key").orElse("");
        try {
            byte[] bytes =
                    Base64.getDecoder().decode(JsonFields.text(row, "value").orElse(""));
            JsonNode value = JsonFields.read(bytes);
            long remainingMillis = JsonFields.longOr(value, EXPIRY, 0L) - storeMillis();
            if (remainingMillis <= 0) {
                expiredKeys.add(key);
                return Optional.empty();
            }
            Map<Long, Integer> weights = new HashMap<>();
            value.path(CRASHES)
                    .fields()
                    .forEachRemaining(crash -> weights.put(
                            Long.parseUnsignedLong(crash.getKey(), HEX),
                            crash.getValue().intValue()));
            PromptPartNews news =
                    new PromptPartNews(Long.parseUnsignedLong(key, HEX), weights, Set.of(), remainingMillis);
            return Optional.of(news.setWholeRequest(value.path(WHOLE_REQUEST).booleanValue()));
        } catch (IOException | IllegalArgumentException failure) {
            // A row that can't be read names no part.
            return Optional.empty();
        }
    }

    private long storeMillis() {
        return EventLoop.nowMillis() + clockOffsetMillis;
    }

    private static ObjectNode transaction(List<String> removedKeys) {
        ObjectNode transaction = JsonFields.MAPPER.createObjectNode();
        transaction.putArray("precondition");
        transaction.putArray("writes");
        ArrayNode removed = transaction.putArray("remove");
        removedKeys.forEach(key -> row(removed.addObject(), key));
        return transaction;
    }

    private static ObjectNode row(ObjectNode node, String key) {
        return node.put("table", TABLE).put("part", "").put("key", key);
    }

    private CompletableFuture<Void> commit(ObjectNode transaction) {
        return store.post("/rows-tx", HttpFields.EMPTY, JsonFields.write(transaction))
                .thenAccept(QuarantineTable::body);
    }

    private static JsonNode body(PlatformClient.Reply reply) {
        if (reply.status() != OK) {
            throw new StoreException("table " + TABLE + " was answered with status " + reply.status());
        }
        try {
            return JsonFields.readObject(reply.body());
        } catch (IOException failure) {
            throw new StoreException("table " + TABLE + " was answered with a body that can't be parsed: " + failure);
        }
    }
}
