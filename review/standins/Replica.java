import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A replica of a plain service. It runs {@code slots} requests at once, queues a few more, and rejects any beyond that.
 */
final class Replica {

    private static final int QUEUE = 2;

    private final String id;
    private final String service;
    private final String host;
    private final int port;
    private final int slots;
    private final long workMillis;
    private final Recorder recorder;
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private final ServerSocket server;
    private final Semaphore running;
    private final AtomicInteger present = new AtomicInteger();
    private final long bornMillis = System.currentTimeMillis();
    private volatile boolean leaving;

    Replica(String id, String service, String host, int port, int slots, long workMillis, Recorder recorder)
            throws IOException {
        this.id = id;
        this.service = service;
        this.host = host;
        this.port = port;
        this.slots = slots;
        this.workMillis = workMillis;
        this.recorder = recorder;
        this.running = new Semaphore(slots, true);
        server = new ServerSocket(port, 200, InetAddress.getByName(host));
        Threads.start(id, this::accept);
    }

    /** Returns its row in the list of replicas. */
    String row() {
        return "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"mid-a\",\"version\":\"v1\",\"slots\":%d,"
                        .formatted(service, host, port, slots)
                + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1,\"born\":" + bornMillis + "}";
    }

    /** Begins to leave: it serves on, and closes each channel after its answer. Returns its new row. */
    String leave() {
        leaving = true;
        return row().replace("\"ready\"", "\"draining\"");
    }

    /** Exits, whatever it is running. */
    void exit() throws IOException {
        server.close();
        for (Socket channel : channels) {
            channel.close();
        }
        recorder.say("replica %s exits", id);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                channels.add(socket);
                Threads.start(id + "-channel", () -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            for (Http.Message request = Http.read(socket.getInputStream());
                    request != null;
                    request = Http.read(socket.getInputStream())) {
                boolean closes = leaving;
                answer(request, socket.getOutputStream());
                if (closes) {
                    return;
                }
            }
        } catch (IOException ended) {
            // The caller has closed the channel, or the replica has exited.
        } finally {
            channels.remove(socket);
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException {
        String target = request.field("target-replica");
        if (target != null && !target.equals(id)) {
            Http.write(out, Http.response("421 Misdirected Request", Map.of("Replica-Id", id), new byte[0]));
            return;
        }
        String attempt = request.field("attempt-id");
        if (present.incrementAndGet() > slots + QUEUE) {
            present.decrementAndGet();
            recorder.add("shed id=%s replica=%s", attempt, id);
            Http.write(
                    out,
                    Http.response(
                            "503 Service Unavailable",
                            Map.of("Not-Executed", "1", "Attempt-Id", attempt),
                            new byte[0]));
            return;
        }
        running.acquireUninterruptibly();
        try {
            recorder.add("run id=%s replica=%s service=%s path=%s", attempt, id, service, request.firstLine[1]);
            onRun(attempt);
            Threads.sleep(workMillis);
        } finally {
            running.release();
            present.decrementAndGet();
        }
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Attempt-Id", attempt);
        fields.put("Server-Seal", "seal." + id + "." + attempt);
        if (leaving) {
            fields.put("Connection", "close");
        }
        Http.write(out, Http.response("200 OK", fields, ("done " + attempt).getBytes()));
        recorder.add("done id=%s replica=%s", attempt, id);
    }

    private void onRun(String attempt) {
        runs.merge(attempt, 1, Integer::sum);
        services.put(attempt, service);
        replicas.put(attempt, id);
    }

    /** How often each request has run, over all replicas. */
    static final Map<String, Integer> runs = new ConcurrentHashMap<>();

    /** The replica that ran each request last. */
    static final Map<String, String> replicas = new ConcurrentHashMap<>();

    /** The service that ran each request last. */
    static final Map<String, String> services = new ConcurrentHashMap<>();
}
