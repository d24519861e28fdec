import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's store, as far as entries and side processes call it: /rows-get, /rows-feed, /rows-tx. */
final class Store {

    private static final int MAX_ROWS = 500;

    /** Told of each call before it is answered; the channel may be left without an answer. */
    interface Hook {
        boolean mayAnswer(Http.Channel channel, Http.Message call) throws IOException, InterruptedException;
    }

    private record Row(String key, String value, long version, boolean deleted) {}

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final Set<Http.Channel> channels = ConcurrentHashMap.newKeySet();
    private final ServerSocket server;
    private long version;
    volatile long answerMillis = 4;
    volatile Hook hook = (channel, call) -> true;

    Store(String host) throws IOException {
        server = new ServerSocket(0, 100, InetAddress.getByName(host));
        Rig.daemon("store", this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + port();
    }

    Set<Http.Channel> channels() {
        return channels;
    }

    synchronized long put(String table, String key, String value) {
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(key, value, ++version, false));
        notifyAll();
        return version;
    }

    synchronized void remove(String table, String key) {
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(key, "", ++version, true));
        notifyAll();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Rig.daemon("store channel", () -> serve(new Http.Channel(socket)));
        }
    }

    private void serve(Http.Channel channel) throws IOException, InterruptedException {
        channels.add(channel);
        try (channel) {
            while (true) {
                Http.Message call = Http.read(channel.in);
                Thread.sleep(answerMillis);
                if (!hook.mayAnswer(channel, call)) {
                    // The channel is silent for good; what arrives is not read any more.
                    Thread.sleep(Long.MAX_VALUE);
                }
                String answer = answer(call);
                if (hook.mayAnswer(channel, null)) {
                    channel.write(Http.answer(200, "Content-Type: application/json\r\n", answer));
                } else {
                    Thread.sleep(Long.MAX_VALUE);
                }
            }
        } finally {
            channels.remove(channel);
        }
    }

    private String answer(Http.Message call) throws InterruptedException {
        Map<String, String> query = query(call.target());
        return switch (call.path()) {
            case "/rows-get" -> get(query);
            case "/rows-feed" -> feed(
                    query.get("table"), Long.parseLong(query.get("after")), Long.parseLong(query.get("wait_ms")));
            default -> page(List.of(), false);
        };
    }

    private synchronized String get(Map<String, String> query) {
        String from = java.net.URLDecoder.decode(query.getOrDefault("from", ""), StandardCharsets.UTF_8);
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
        List<Row> rows = tables.getOrDefault(query.get("table"), new TreeMap<>()).tailMap(from, true).values().stream()
                .filter(row -> !row.deleted)
                .toList();
        boolean hasMore = rows.size() > limit;
        return page(hasMore ? rows.subList(0, limit) : rows, hasMore);
    }

    private synchronized String feed(String table, long after, long waitMillis) throws InterruptedException {
        long endMillis = System.nanoTime() / 1_000_000 + waitMillis;
        while (true) {
            List<Row> rows = new ArrayList<>(tables.getOrDefault(table, new TreeMap<>()).values());
            rows.removeIf(row -> row.version <= after);
            rows.sort(java.util.Comparator.comparingLong(Row::version));
            long leftMillis = endMillis - System.nanoTime() / 1_000_000;
            if (!rows.isEmpty() || leftMillis <= 0) {
                return page(rows, false);
            }
            wait(leftMillis);
        }
    }

    private String page(List<Row> rows, boolean hasMore) {
        StringBuilder text = new StringBuilder("{\"rows\":[");
        for (Row row : rows) {
            if (text.charAt(text.length() - 1) == '}') {
                text.append(',');
            }
            text.append("{\"table\":\"\",\"part\":\"\",\"key\":\"").append(row.key).append("\",\"ver\":").append(row.version);
            text.append(
                    row.deleted
                            ? ",\"deleted\":true}"
                            : ",\"value\":\""
                                    + Base64.getEncoder().encodeToString(row.value.getBytes(StandardCharsets.UTF_8))
                                    + "\"}");
        }
        return text.append("],\"has_more\":").append(hasMore).append(",\"ver\":").append(version)
                .append(",\"now_ms\":").append(System.nanoTime() / 1_000_000).append('}').toString();
    }

    private static Map<String, String> query(String target) {
        Map<String, String> pairs = new HashMap<>();
        int mark = target.indexOf('?');
        for (String pair : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            pairs.put(parts[0], parts.length > 1 ? parts[1] : "");
        }
        return pairs;
    }
}
