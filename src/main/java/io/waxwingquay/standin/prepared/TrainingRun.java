package io.waxwingquay.standin.prepared;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.hosted.HostedProcess;
import io.waxwingquay.net.ClientListener;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.net.ClientRequest;
import io.waxwingquay.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpFields;

/**
 * Runs the complete request path on loopback against stand-ins: a manifest, two engines with an adapter and a model to
 * load, a plain service, client accounts, and requests through an entry. The build executes it once to record which classes a process
 * loads; they are stored in a class archive, with which processes start faster and use less memory.
 *
 * <p>The processes are launched from settings files, as the platform does it: a single lambda or library class that is
 * missing from the archive makes each start build up the machinery that defines classes at run time.
 */
public final class TrainingRun {

    private static final String ENTRY_HOST = "127.0.0.1";
    private static final String SIDE_HOST = "127.0.0.2";
    private static final String PLAIN_HOST = "127.0.0.3";
    private static final String SECOND_SIDE_HOST = "127.0.0.4";
    private static final long TIMEOUT_SECONDS = 30L;
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int OK = 200;
    private static final int UNAUTHORIZED = 401;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final String MANIFEST =
            """
            {"version":1,"routes":[
            {"name":"s","host":"x.test","prefix":"/s/","kind":"streaming","timeout_ms":5000,"target_latency_ms":1000,
             "priority":0,"service":"engines","max_attempts":2,"resumable":true},
            {"name":"p","host":"x.test","prefix":"/p/","kind":"safe","timeout_ms":5000,"target_latency_ms":1000,
             "priority":1,"traffic_split":[{"service":"plain","weight":1}],"max_attempts":2}],
            "services":[{"name":"plain","max_conns":50},{"name":"engines","max_conns":50,"engine":{"slots":8,
             "kv_tokens":10000,"weights_mb":200,"adapter_slots":2,"loads_per_s":1,
             "models":[{"name":"m","weights_mb":100,"load_s":1,"adapters":1,"adapter_mb":1},
             {"name":"n","weights_mb":100,"load_s":1,"adapters":0},{"name":"o","weights_mb":100,"load_s":1,"adapters":0},
             {"name":"p","weights_mb":100,"load_s":1,"adapters":0},
             {"name":"q","weights_mb":100,"load_s":1,"adapters":0}]}}],
            "tenants":[{"name":"wide","api_keys":["wide-1","wide-2"],"priority":0,"unit":"token_stream",
             "plain_tokens":100,"rate_per_s":100000,"burst":100000},
             {"name":"narrow","api_keys":["narrow-1"],"priority":1,"rate_per_s":0.001,"burst":1}]}
            """;
    private static final String SETTINGS =
            """
            node = "%1$s"
            zone = "z"
            ip = "%1$s"
            port_range = [%2$d, %3$d]
            seeds = []
            bootstrap = true
            %4$s
            [listen]
            %5$s
            [bounds]
            drain_ms = 2000
            grace_s = 4
            retry_budget_ratio = 0.2
            budget_slack = 20
            ceiling_window_s = 5
            ceiling_over = 1.1
            quota_window_s = 8
            quota_over = 0.1
            quota_slack = 4
            [platform]
            address = "%6$s"
            """;

    private final EventLoop loop;
    private final Launcher launcher;
    private final int basePort;

    private TrainingRun(EventLoop loop, Launcher launcher, int basePort) {
        this.loop = loop;
        this.launcher = launcher;
        this.basePort = basePort;
    }

    /**
     * Executes the training run.
     *
     * @param launcher launches the processes.
     * @param basePort the first of ten ports on loopback that the run may use.
     * @throws Exception if a process does not start or a request is not answered successfully.
     */
    public static void run(Launcher launcher, int basePort) throws Exception {
        EventLoop loop = EventLoop.start("rehearsal");
        Path directory = Files.createTempDirectory("rehearsal");
        try {
            new TrainingRun(loop, launcher, basePort).run(directory);
        } finally {
            loop.close();
            deleteAll(directory);
        }
    }

    private void run(Path directory) throws Exception {
        StoreStandin store = StoreStandin.start(loop, new HostPort(ENTRY_HOST, basePort));
        store.put("op", "config", MANIFEST);
        startReplica(store, "i-1", SIDE_HOST, List.of("m", "n"));
        startReplica(store, "i-2", SECOND_SIDE_HOST, List.of("o", "p"));
        ReplicaStandin plain = ReplicaStandin.start(
                loop, "i-3", new HostPort(PLAIN_HOST, basePort + 1), List.of(), ReplicaStandin.Behaviour.ECHO);
        store.put("servers", "i-3", plain.row("plain", "z", "ready"));
        launch("side", directory.resolve("side.toml"), sideSettings(SIDE_HOST));
        launch("side", directory.resolve("second-side.toml"), sideSettings(SECOND_SIDE_HOST));
        HostedProcess entry = launch("entry", directory.resolve("entry.toml"), entrySettings());
        ClientPool pool = new ClientPool(loop, new InetSocketAddress(ENTRY_HOST, basePort + 2), 4);
        expect(OK, pool, "GET", "/p/1", "", "wide-1");
        expect(OK, pool, "POST", "/s/1", "m", "wide-1");
        expect(OK, pool, "POST", "/s/2", "m/a1", "wide-2");
        expect(OK, pool, "POST", "/s/3", "q", "wide-1");
        expect(TOO_MANY_REQUESTS, pool, "GET", "/p/2", "", "narrow-1");
        expect(UNAUTHORIZED, pool, "GET", "/p/3", "", "unknown");
        entry.shutdown().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void startReplica(StoreStandin store, String id, String host, List<String> models) {
        ReplicaStandin engine = ReplicaStandin.start(
                loop, id, new HostPort(host, basePort + 1), models, ReplicaStandin.Behaviour.stream(5, 0));
        store.put("servers", id, engine.row("engines", "z", "ready"));
    }

    private HostedProcess launch(String role, Path file, String settings) throws Exception {
        Files.writeString(file, settings);
        return launcher.launch(role, file).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private String sideSettings(String host) {
        HostPort engine = new HostPort(host, basePort + 1);
        return settings(host, "service = \"engines\"\napp = \"" + engine + "\"", "");
    }

    private String entrySettings() {
        HostPort callers = new HostPort(ENTRY_HOST, basePort + 2);
        HostPort readiness = new HostPort(ENTRY_HOST, basePort + 3);
        return settings(ENTRY_HOST, "", "front = \"" + callers + "\"\nready = \"" + readiness + "\"");
    }

    private String settings(String host, String engine, String listen) {
        HostPort store = new HostPort(ENTRY_HOST, basePort);
        return SETTINGS.formatted(host, basePort + 5, basePort + 9, engine, listen, store);
    }

    private static void deleteAll(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }

    /** Sends a request until it is answered with the status. */
    private void expect(int expected, ClientPool pool, String method, String path, String model, String key)
            throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        int status = 0;
        while (status != expected && System.nanoTime() < endNanos) {
            CompletableFuture<Integer> answer = new CompletableFuture<>();
            HttpFields.Mutable fields = HttpFields.build()
                    .put("Host", "x.test")
                    .put("Attempt-Id", "r" + path)
                    .put("Key", key)
                    .put("Deadline-Remaining", "3000");
            if (!model.isEmpty()) {
                fields.put("Model", model).put("Token-Counts", "10,10").put("Prompt-Prefix", "a:5,b:5");
            }
            ClientRequest request = new ClientRequest(method, path, fields, new byte[0], true);
            loop.execute(() -> pool.send(request, new StatusListener(answer)));
            status = answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            LockSupport.parkNanos(RETRY_DELAY_NANOS);
        }
        if (status != expected) {
            throw new IllegalStateException(method + " " + path + " was answered with status " + status);
        }
    }

    /** Launches the processes of the run. */
    @FunctionalInterface
    public interface Launcher {

        /**
         * Launches a process.
         *
         * @param role the role of the process, {@code entry} or {@code side}.
         * @param settings its settings file.
         * @return the process, once it has started.
         * @throws IOException if the settings file can't be read.
         */
        CompletableFuture<HostedProcess> launch(String role, Path settings) throws IOException;
    }

    private record StatusListener(CompletableFuture<Integer> answer, int[] status) implements ClientListener {

        private StatusListener(CompletableFuture<Integer> answer) {
            this(answer, new int[1]);
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(int newStatus, HttpFields fields) {
            status[0] = newStatus;
        }

        /** {@inheritDoc} */
        @Override
        public void onBody(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        /** {@inheritDoc} */
        @Override
        public void onComplete() {
            answer.complete(status[0]);
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(boolean sent, String why) {
            answer.complete(0);
        }
    }
}
