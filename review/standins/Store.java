import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's metadata store: rows-get, rows-feed and rows-tx of tables with an empty part. Transactions have no
 * preconditions, as the system writes none.
 */
final class Store implements AutoCloseable {

    private static final int MAX_PENDING = 200;
    private static final Pattern ROW = Pattern.compile("\\{[^{}\\[\\]]*\"table\"[^{}]*\\}");

    private record Row(String key, String value, long version, boolean deleted) {}

    private final ServerSocket server;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
    private long version;

    Store(int port) throws IOException {
        server = new ServerSocket(port, MAX_PENDING, InetAddress.getByName("127.0.0.1"));
        Threads.start("store", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes a row; when this returns, the store has acknowledged it. */
    synchronized void put(String table, String key, String json) {
        write(table, key, Base64.getEncoder().encodeToString(json.getBytes(java.nio.charset.StandardCharsets.UTF_8)), false);
    }

    synchronized void remove(String table, String key) {
        write(table, key, "", true);
    }

    private void write(String table, String key, String value, boolean deleted) {
        version++;
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(key, value, version, deleted));
        notifyAll();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Channel channel = new Channel(server.accept());
                channels.add(channel);
                Threads.start("store-channel", channel::serve);
            } catch (IOException closed) {
                return;
            }
        }
    }

    private synchronized String page(String table, long after, boolean withDeleted) {
        StringBuilder rows = new StringBuilder();
        for (Row row : tables.getOrDefault(table, new TreeMap<>()).values()) {
            if (row.version <= after || row.deleted && !withDeleted) {
                continue;
            }
            rows.append(rows.length() == 0 ? "" : ",")
                    .append("{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + row.key + "\",\"ver\":" + row.version)
                    .append(row.deleted ? ",\"deleted\":true}" : ",\"value\":\"" + row.value + "\"}");
        }
        return "{\"rows\":[" + rows + "],\"has_more\":false,\"ver\":" + version + ",\"now_ms\":" + System.nanoTime() / 1_000_000
                + "}";
    }

    /** Applies the writes and the removals of a transaction. */
    private synchronized String commit(String transaction) {
        int removals = transaction.indexOf("\"remove\"");
        Matcher row = ROW.matcher(transaction);
        while (row.find()) {
            String entry = row.group();
            boolean isRemoval = removals >= 0 && row.start() > removals;
            write(field(entry, "table"), field(entry, "key"), isRemoval ? "" : field(entry, "value"), isRemoval);
        }
        return page("", 0, false);
    }

    private static String field(String entry, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(entry);
        return matcher.find() ? matcher.group(1) : "";
    }

    private synchronized boolean hasChanges(String table, long after) {
        return tables.getOrDefault(table, new TreeMap<>()).values().stream().anyMatch(row -> row.version > after);
    }

    private synchronized String awaitChanges(String table, long after, long waitMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (!hasChanges(table, after)) {
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (leftMillis <= 0) {
                break;
            }
            wait(leftMillis);
        }
        return page(table, after, true);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Channel channel : new ArrayList<>(channels)) {
            channel.socket.close();
        }
    }

    private final class Channel {
        private final Socket socket;

        private Channel(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
        }

        private void serve() {
            try (socket) {
                for (Http.Message call = Http.read(socket.getInputStream());
                        call != null;
                        call = Http.read(socket.getInputStream())) {
                    Http.write(socket.getOutputStream(), answer(call));
                }
            } catch (IOException | InterruptedException ended) {
                // The caller has closed the channel.
            } finally {
                channels.remove(this);
            }
        }

        private byte[] answer(Http.Message call) throws InterruptedException {
            String target = call.firstLine[1];
            Map<String, String> query = query(target);
            String body;
            if (target.startsWith("/rows-get")) {
                body = page(query.get("table"), 0, false);
            } else if (target.startsWith("/rows-feed")) {
                body = awaitChanges(
                        query.get("table"), Long.parseLong(query.get("after")), Long.parseLong(query.get("wait_ms")));
            } else {
                body = commit(call.text());
            }
            return Http.response("200 OK", Map.of("Content-Type", "application/json"), body.getBytes());
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> pairs = new HashMap<>();
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            pairs.put(parts[0], parts.length > 1 ? parts[1] : "");
        }
        return pairs;
    }
}
