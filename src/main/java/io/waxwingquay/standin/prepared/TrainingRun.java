package io.waxwingquay.standin.prepared;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.hosted.HostSettings;
import io.waxwingquay.hosted.HostedEntry;
import io.waxwingquay.hosted.HostedProcess;
import io.waxwingquay.hosted.HostedSide;
import io.waxwingquay.net.ClientListener;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.net.ClientRequest;
import io.waxwingquay.net.EventLoop;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.http.HttpFields;

/**
 * Runs the complete request path on loopback against stand-ins: a manifest, an engine with an adapter to load, a plain
 * service, and requests through an entry. The build executes it once to record which classes a process loads; they are
 * stored in a class archive, with which processes start faster and use less memory.
 */
public final class TrainingRun {

    private static final String ENTRY_HOST = "127.0.0.1";
    private static final String SIDE_HOST = "127.0.0.2";
    private static final String PLAIN_HOST = "127.0.0.3";
    private static final long TIMEOUT_SECONDS = 30L;
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int OK = 200;
    private static final String MANIFEST =
            """
            {"version":1,"routes":[
            {"name":"s","host":"x.test","prefix":"/s/","kind":"streaming","timeout_ms":5000,"target_latency_ms":1000,
             "priority":0,"service":"engines","max_attempts":2,"resumable":true},
            {"name":"p","host":"x.test","prefix":"/p/","kind":"safe","timeout_ms":5000,"target_latency_ms":1000,
             "priority":1,"traffic_split":[{"service":"plain","weight":1}],"max_attempts":2}],
            "services":[{"name":"plain","max_conns":50},{"name":"engines","max_conns":50,"engine":{"slots":8,
             "kv_tokens":10000,"weights_mb":200,"adapter_slots":2,"loads_per_s":1,
             "models":[{"name":"m","weights_mb":100,"load_s":1,"adapters":1,"adapter_mb":1}]}}]}
            """;

    private final EventLoop loop;
    private final int basePort;

    private TrainingRun(EventLoop loop, int basePort) {
        this.loop = loop;
        this.basePort = basePort;
    }

    /**
     * Executes the training run.
     *
     * @param basePort the first of ten ports on loopback that the run may use.
     * @throws Exception if a process does not start or a request is not answered successfully.
     */
    public static void run(int basePort) throws Exception {
        EventLoop loop = EventLoop.start("rehearsal");
        try {
            new TrainingRun(loop, basePort).run();
        } finally {
            loop.close();
        }
    }

    private void run() throws Exception {
        StoreStandin store = StoreStandin.start(loop, new HostPort(ENTRY_HOST, basePort));
        HostPort engineAddress = new HostPort(SIDE_HOST, basePort + 1);
        ReplicaStandin engine =
                ReplicaStandin.start(loop, "i-1", engineAddress, List.of("m"), ReplicaStandin.Behaviour.stream(5, 0));
        ReplicaStandin plain = ReplicaStandin.start(
                loop, "i-2", new HostPort(PLAIN_HOST, basePort + 1), List.of(), ReplicaStandin.Behaviour.ECHO);
        store.put("op", "config", MANIFEST);
        store.put("servers", "i-1", engine.row("engines", "z", "ready"));
        store.put("servers", "i-2", plain.row("plain", "z", "ready"));
        HostPort callerAddress = new HostPort(ENTRY_HOST, basePort + 2);
        HostPort readinessAddress = new HostPort(ENTRY_HOST, basePort + 3);
        try (EventLoop processes = EventLoop.start("processes")) {
            CompletableFuture<HostedProcess> entry = new CompletableFuture<>();
            processes.execute(() -> {
                try {
                    HostedSide.start(
                            processes, settings(SIDE_HOST, Optional.empty(), Optional.of(engineAddress), store));
                    entry.complete(HostedEntry.start(
                            processes,
                            settings(
                                    ENTRY_HOST,
                                    Optional.of(callerAddress),
                                    Optional.empty(),
                                    store,
                                    readinessAddress)));
                } catch (RuntimeException failure) {
                    entry.completeExceptionally(failure);
                }
            });
            HostedProcess process = entry.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            ClientPool pool =
                    new ClientPool(loop, new InetSocketAddress(callerAddress.host(), callerAddress.port()), 4);
            expectOk(pool, "GET", "/p/1", "");
            expectOk(pool, "POST", "/s/1", "m");
            expectOk(pool, "POST", "/s/2", "m/a1");
            process.shutdown().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private void expectOk(ClientPool pool, String method, String path, String model) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        int status = 0;
        while (status != OK && System.nanoTime() < endNanos) {
            CompletableFuture<Integer> answer = new CompletableFuture<>();
            HttpFields.Mutable fields = HttpFields.build()
                    .put("Host", "x.test")
                    .put("Attempt-Id", "r" + path)
                    .put("Deadline-Remaining", "3000");
            if (!model.isEmpty()) {
                fields.put("Model", model).put("Token-Counts", "10,10").put("Prompt-Prefix", "a:5,b:5");
            }
            ClientRequest request = new ClientRequest(method, path, fields, new byte[0], true);
            loop.execute(() -> pool.send(request, new StatusListener(answer)));
            status = answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            LockSupport.parkNanos(RETRY_DELAY_NANOS);
        }
        if (status != OK) {
            throw new IllegalStateException(method + " " + path + " was answered with status " + status);
        }
    }

    private HostSettings settings(
            String host,
            Optional<HostPort> callerAddress,
            Optional<HostPort> engineAddress,
            StoreStandin store,
            HostPort... readinessAddresses) {
        Optional<HostPort> readinessAddress =
                readinessAddresses.length > 0 ? Optional.of(readinessAddresses[0]) : Optional.empty();
        HostSettings.Bounds bounds = new HostSettings.Bounds(2_000, 4_000, 0.2, 20, 5_000, 1.1);
        return new HostSettings(
                host,
                "z",
                host,
                basePort + 5,
                basePort + 6,
                callerAddress,
                readinessAddress,
                engineAddress,
                Optional.of("engines"),
                store.address(),
                true,
                List.of(),
                bounds);
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
