package io.waxwingquay.standin.prepared;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.HttpServer;
import io.waxwingquay.net.ServerExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;

/**
 * A stand-in for the platform's store, which serves reads of a table and long polls for its changes. The public methods
 * may be called from any thread.
 */
public final class StoreStandin {

    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final JsonMapper MAPPER = new JsonMapper();

    private final EventLoop loop;
    private final HostPort address;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<LongPoll> longPolls = new ArrayList<>();
    private long version;
    private long historyStartVersion;
    private long era = 1;
    private boolean unavailable;

    private StoreStandin(EventLoop loop, HostPort address) {
        this.loop = loop;
        this.address = address;
    }

    /**
     * Starts an empty store.
     *
     * @param loop the event loop to run on.
     * @param address the address to listen on.
     * @return the store.
     */
    public static StoreStandin start(EventLoop loop, HostPort address) {
        StoreStandin store = new StoreStandin(loop, address);
        HttpServer.listen(loop, new InetSocketAddress(address.host(), address.port()), store::handle);
        return store;
    }

    /**
     * Returns the address that the store listens on.
     *
     * @return the address.
     */
    public HostPort address() {
        return address;
    }

    /**
     * Writes a row.
     *
     * @param table the table.
     * @param key the key.
     * @param value the value.
     */
    public void put(String table, String key, String value) {
        runOnLoop(() -> write(table, key, value, false));
    }

    /**
     * Deletes a row.
     *
     * @param table the table.
     * @param key the key.
     */
    public void remove(String table, String key) {
        runOnLoop(() -> write(table, key, "", true));
    }

    /**
     * Returns the number of rows in a table.
     *
     * @param table the table.
     * @return how many rows are not deleted.
     */
    public int rowCount(String table) {
        CompletableFuture<Integer> counted = new CompletableFuture<>();
        loop.execute(() -> counted.complete(rowsAfter(table, 0, false).size()));
        return counted.join();
    }

    /** Discards the history of changes, so that every follower of a table has to read it again. */
    public void dropHistory() {
        runOnLoop(() -> {
            version++;
            historyStartVersion = version;
            completeReadyPolls();
        });
    }

    /**
     * Returns a copy of all rows, from which the store can be restored later.
     *
     * @return the copy.
     */
    public Copy copy() {
        CompletableFuture<Copy> copied = new CompletableFuture<>();
        loop.execute(() -> copied.complete(new Copy(version, copyOf(tables))));
        return copied.join();
    }

    /**
     * Restores the store from a copy: all that was written since is lost, versions go back to that of the copy and are
     * given out again, and calls that wait for changes are not answered. The era rises by one.
     *
     * @param copy the copy.
     */
    public void restore(Copy copy) {
        runOnLoop(() -> {
            era++;
            version = copy.version;
            tables.clear();
            tables.putAll(copyOf(copy.tables));
            longPolls.forEach(poll -> poll.caller.abort());
            longPolls.clear();
        });
    }

    private static Map<String, TreeMap<String, Row>> copyOf(Map<String, TreeMap<String, Row>> tables) {
        Map<String, TreeMap<String, Row>> copy = new HashMap<>();
        tables.forEach((name, rows) -> copy.put(name, new TreeMap<>(rows)));
        return copy;
    }

    /**
     * Sets whether the store answers every call as unavailable.
     *
     * @param isUnavailable whether the store is unavailable.
     */
    public void unavailable(boolean isUnavailable) {
        runOnLoop(() -> {
            unavailable = isUnavailable;
            completeReadyPolls();
        });
    }

    private void runOnLoop(Runnable task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            task.run();
            done.complete(null);
        });
        done.join();
    }

    private void write(String table, String key, String value, boolean deleted) {
        version++;
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(key, value, version, deleted));
        completeReadyPolls();
    }

    private void handle(ServerExchange caller) {
        if (unavailable) {
            respond(caller, UNAVAILABLE, "away");
            return;
        }
        Map<String, String> query = parseQuery(caller.request().target());
        if (caller.request().path().equals("/rows-tx")) {
            commit(caller);
            return;
        }
        if (caller.request().path().equals("/rows-get")) {
            respond(caller, OK, page(rowsAfter(query.get("table"), 0, false)));
            return;
        }
        LongPoll poll = new LongPoll(caller, query.get("table"), Long.parseLong(query.get("after")));
        longPolls.add(poll);
        loop.schedule(Long.parseLong(query.get("wait_ms")), () -> {
            if (longPolls.remove(poll)) {
                respond(caller, OK, page(List.of()));
            }
        });
        completeReadyPolls();
    }

    /** Applies the writes and removals of a transaction; preconditions are not supported. */
    private void commit(ServerExchange caller) {
        try {
            JsonNode transaction = MAPPER.readTree(caller.request().body());
            transaction.path("writes").forEach(row -> write(text(row, "table"), text(row, "key"), decoded(row), false));
            transaction.path("remove").forEach(row -> write(text(row, "table"), text(row, "key"), "", true));
            respond(caller, OK, page(List.of()));
        } catch (IOException failure) {
            throw new IllegalArgumentException("cannot parse a transaction", failure);
        }
    }

    private static String text(JsonNode row, String field) {
        return row.path(field).asText();
    }

    private static String decoded(JsonNode row) {
        return new String(Base64.getDecoder().decode(text(row, "value")), StandardCharsets.UTF_8);
    }

    /** Answers the long polls that have changes or precede the history, and all of them if the store is unavailable. */
    private void completeReadyPolls() {
        new ArrayList<>(longPolls).forEach(poll -> {
            List<Row> changed = rowsAfter(poll.table, poll.after, true);
            if (unavailable || !hasHistory(poll) || !changed.isEmpty()) {
                longPolls.remove(poll);
                respond(poll.caller, status(poll), page(changed));
            }
        });
    }

    private int status(LongPoll poll) {
        if (unavailable) {
            return UNAVAILABLE;
        }
        return hasHistory(poll) ? OK : GONE;
    }

    /** Returns whether all changes after a version are known, which is not so for one that was not given out yet. */
    private boolean hasHistory(LongPoll poll) {
        return poll.after >= historyStartVersion && poll.after <= version;
    }

    private void respond(ServerExchange caller, int status, String body) {
        caller.respond(status, HttpFields.build().put("Store-Era", Long.toString(era)), body);
    }

    private List<Row> rowsAfter(String table, long after, boolean withDeleted) {
        return tables.getOrDefault(table, new TreeMap<>()).values().stream()
                .filter(row -> row.version > after)
                .filter(row -> withDeleted || !row.deleted)
                .toList();
    }

    private String page(List<Row> rows) {
        ObjectNode page = MAPPER.createObjectNode();
        ArrayNode list = page.putArray("rows");
        rows.forEach(row -> {
            ObjectNode node = list.addObject().put("key", row.key).put("ver", row.version);
            if (row.deleted) {
                node.put("deleted", true);
            } else {
                node.put("value", Base64.getEncoder().encodeToString(row.value.getBytes(StandardCharsets.UTF_8)));
            }
        });
        return page.put("has_more", false)
                .put("ver", version)
                .put("now_ms", EventLoop.nowMillis())
                .toString();
    }

    private static Map<String, String> parseQuery(String target) {
        Map<String, String> pairs = new HashMap<>();
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            pairs.put(parts[0], parts.length > 1 ? parts[1] : "");
        }
        return pairs;
    }

    /** All rows as of one version. */
    public static final class Copy {

        private final long version;
        private final Map<String, TreeMap<String, Row>> tables;

        private Copy(long version, Map<String, TreeMap<String, Row>> tables) {
            this.version = version;
            this.tables = tables;
        }
    }

    private record Row(String key, String value, long version, boolean deleted) {}

    private record LongPoll(ServerExchange caller, String table, long after) {}
}
