package io.waxwingquay.hosted;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.standin.prepared.ReplicaStandin;
import io.waxwingquay.standin.prepared.StoreStandin;
import io.waxwingquay.testing.Await;
import io.waxwingquay.testing.FreePorts;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

/** An entry and a side process on loopback, with stand-ins of the store, of two engines and of two plain replicas. */
final class HostedWorld implements AutoCloseable {

    private static final String MANIFEST =
            """
            {"version":%d,"routes":[
            {"name":"s","host":"x.test","prefix":"/s/","kind":"streaming","timeout_ms":20000,"target_latency_ms":9000,
             "priority":0,"service":"engines","max_attempts":2,"resumable":true},
            {"name":"quick","host":"x.test","prefix":"/quick/","kind":"streaming","timeout_ms":20000,
             "target_latency_ms":100,"priority":0,"service":"engines","max_attempts":2,"resumable":true},
            {"name":"live","host":"x.test","prefix":"/live/","kind":"streaming","timeout_ms":20000,
             "target_latency_ms":100,"priority":0,"service":"engines","max_attempts":2},
            {"name":"once","host":"x.test","prefix":"/once/","kind":"unsafe","timeout_ms":20000,
             "target_latency_ms":9000,"priority":1,"service":"plain","max_attempts":2},
            {"name":"brief","host":"x.test","prefix":"/brief/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":100,
             "priority":1,"service":"plain","max_attempts":2},
            {"name":"p","host":"x.test","prefix":"/p/","kind":"safe","timeout_ms":20000,"target_latency_ms":9000,
             "priority":1,"service":"plain","max_attempts":2}],
            "services":[{"name":"plain","max_conns":50},{"name":"engines","max_conns":50,"engine":{"slots":8,
             "kv_tokens":10000,"weights_mb":200,"adapter_slots":2,"loads_per_s":1,
             "models":[{"name":"m","weights_mb":100,"load_s":1,"adapters":2,"adapter_mb":1}]}}]}
            """;

    private static final int PORTS = 7;
    private static final String SECOND_HOST = "127.0.0.6";
    private static final List<String> HOSTS =
            List.of("127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4", "127.0.0.5", SECOND_HOST);

    private final EventLoop outside = EventLoop.start("outside");
    private final EventLoop inside = EventLoop.start("inside");
    private final int base = FreePorts.adjacent(PORTS, HOSTS);
    final StoreStandin store = StoreStandin.start(outside, new HostPort("127.0.0.1", base));
    final ReplicaStandin engine1 = engine("e1", "127.0.0.2", List.of("m"));
    final ReplicaStandin engine2 = engine("e2", "127.0.0.3", List.of("m"));
    final ReplicaStandin plain1 = engine("p1", "127.0.0.4", List.of());
    final ReplicaStandin plain2 = engine("p2", "127.0.0.5", List.of());
    private final HostedProcess entry;

    HostedWorld() throws Exception {
        manifest(1);
        list(engine1, "e1", "engines", "ready");
        list(engine2, "e2", "engines", "ready");
        list(plain1, "p1", "plain", "ready");
        list(plain2, "p2", "plain", "ready");
        CompletableFuture<HostedProcess> started = new CompletableFuture<>();
        inside.execute(() -> {
            try {
                HostedSide.start(inside, side("127.0.0.2"));
                HostedSide.start(inside, side("127.0.0.3"));
                started.complete(HostedEntry.start(inside, entry("127.0.0.1", store.address(), List.of())));
            } catch (RuntimeException failure) {
                started.completeExceptionally(failure);
            }
        });
        entry = Await.value(started);
        Await.until(() -> ready() == 200);
    }

    void manifest(long version) {
        manifest(version, "/p/");
    }

    void manifest(long version, String plainPrefix) {
        store.put("op", "config", String.format(MANIFEST, version).replace("\"/p/\"", '"' + plainPrefix + '"'));
    }

    void list(ReplicaStandin replica, String id, String service, String state) {
        store.put("servers", id, replica.row(service, "z", state));
    }

    /** Starts another entry that the store turns away, and that is told of the first as a seed. */
    void startCutOffEntry() throws Exception {
        StoreStandin away = StoreStandin.start(outside, new HostPort(SECOND_HOST, base));
        away.unavailable(true);
        startSecond(away.address());
    }

    /** Starts another entry that reads the same store, and waits until it is ready. */
    void startSecondEntry() throws Exception {
        startSecond(store.address());
        Await.until(() -> askSecond("/p/1", "second", "x").status() == 200);
    }

    private void startSecond(HostPort storeAddress) throws Exception {
        HostSettings settings = entry(SECOND_HOST, storeAddress, List.of("127.0.0.1"));
        CompletableFuture<HostedProcess> started = new CompletableFuture<>();
        inside.execute(() -> started.complete(HostedEntry.start(inside, settings)));
        Await.value(started);
    }

    Answer askSecond(String path, String id) throws IOException {
        return askSecond(path, id, "x");
    }

    Answer askSecond(String path, String id, String body) throws IOException {
        try (Socket socket = new Socket(InetAddress.getByName(SECOND_HOST), base + 2)) {
            socket.setSoTimeout(30_000);
            return exchange(socket, request("POST", path, id, "", body));
        }
    }

    String dumpSecond() throws IOException {
        return dump(SECOND_HOST);
    }

    CompletableFuture<Void> leave() {
        return entry.leave();
    }

    /** Tells the entry to stop; when it says that it may exit, all that it has open ends, as at the end of a process. */
    CompletableFuture<Void> exit() {
        return entry.leave().thenRunAsync(inside::close);
    }

    /** Does something while the entry and the sides stand still. */
    void standingStill(Action action) throws Exception {
        CompletableFuture<Void> stands = new CompletableFuture<>();
        CountDownLatch over = new CountDownLatch(1);
        inside.execute(() -> {
            stands.complete(null);
            Await.quietly(over);
        });
        Await.value(stands);
        try {
            action.run();
        } finally {
            over.countDown();
        }
    }

    /** Runs a task on the stand-ins' loop after a while. */
    void later(long millis, Runnable task) {
        outside.schedule(millis, task);
    }

    int ready() throws IOException {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), base + 3)) {
            return exchange(socket, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n").status;
        }
    }

    String dump() throws IOException {
        return dump("127.0.0.1");
    }

    private String dump(String host) throws IOException {
        try (Socket socket = new Socket(InetAddress.getByName(host), base + 6)) {
            return exchange(socket, "GET /dump HTTP/1.1\r\nHost: x\r\n\r\n").body();
        }
    }

    Answer ask(String method, String path, String id, String more, String body) throws IOException {
        try (Socket socket = connect()) {
            return exchange(socket, request(method, path, id, more, body));
        }
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), base + 2);
        socket.setSoTimeout(30_000);
        return socket;
    }

    static String request(String method, String path, String id, String more, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: x.test\r\nAttempt-Id: " + id
                + "\r\nDeadline-Remaining: 20000\r\n" + more + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static Answer exchange(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return Answer.read(socket.getInputStream());
    }

    @Override
    public void close() {
        inside.close();
        outside.close();
    }

    private ReplicaStandin engine(String id, String host, List<String> models) {
        return ReplicaStandin.start(outside, id, new HostPort(host, base + 1), models, ReplicaStandin.Behaviour.ECHO);
    }

    private HostSettings entry(String host, HostPort storeAddress, List<String> seeds) {
        return new HostSettings(
                "entry-" + host,
                "z",
                host,
                base + 5,
                base + 6,
                Optional.of(new HostPort(host, base + 2)),
                Optional.of(new HostPort(host, base + 3)),
                Optional.empty(),
                Optional.empty(),
                storeAddress,
                true,
                seeds,
                bounds());
    }

    private HostSettings side(String host) {
        return new HostSettings(
                "side-" + host,
                "z",
                host,
                base + 5,
                base + 6,
                Optional.empty(),
                Optional.empty(),
                Optional.of(new HostPort(host, base + 1)),
                Optional.of("engines"),
                store.address(),
                true,
                List.of(),
                bounds());
    }

    private static HostSettings.Bounds bounds() {
        return new HostSettings.Bounds(2_000, 8_000, 0.2, 200, 5_000, 1.1);
    }

    /**
     * An answer as it came.
     *
     * @param status the status; 0 if there was none.
     * @param head the whole head.
     * @param body the body.
     * @param complete whether its framing says that it is whole.
     */
    record Answer(int status, String head, String body, boolean complete) {

        private static Answer read(InputStream in) throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    return new Answer(0, head.toString(), "", false);
                }
                head.append((char) next);
            }
            String text = head.toString();
            int status = Integer.parseInt(text.substring(9, 12));
            return text.contains("Transfer-Encoding: chunked")
                    ? chunked(status, text, in)
                    : new Answer(status, text, sized(text, in), true);
        }

        private static String sized(String head, InputStream in) throws IOException {
            int from = head.indexOf("Content-Length: ") + 16;
            int length = Integer.parseInt(head.substring(from, head.indexOf("\r\n", from)));
            return new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        }

        private static Answer chunked(int status, String head, InputStream in) throws IOException {
            StringBuilder body = new StringBuilder();
            while (true) {
                String size = line(in);
                if (size.isEmpty()) {
                    return new Answer(status, head, body.toString(), false);
                }
                int length = Integer.parseInt(size, 16);
                body.append(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
                line(in);
                if (length == 0) {
                    return new Answer(status, head, body.toString(), true);
                }
            }
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
                if (next != '\r') {
                    line.append((char) next);
                }
            }
            return line.toString();
        }
    }

    /** What a test does. */
    @FunctionalInterface
    interface Action {

        void run() throws Exception;
    }
}
