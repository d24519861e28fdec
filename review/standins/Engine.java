import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A model replica. It carries out one order at a time, checks the precondition when it begins to, and loads from its own disk
 * what it has held before. All models are equally large. Its memory ends with {@link #losePower}; its disk stays.
 */
final class Engine {

    private static final int EVENTS = 8;
    private static final long EVENT_MILLIS = 15;

    /** Decides whether an order gets no answer and is carried out late; returns the delay, or a negative number. */
    interface LateRule {
        long lateMillis(String order, long seq);
    }

    private final String name;
    private final String service;
    private final String host;
    private final int port;
    private final double weightsMb;
    private final double modelMb;
    private final long storeLoadMillis;
    private final long diskLoadMillis;
    private final Recorder recorder;
    private final Store store;
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private final Set<String> onDisk = new TreeSet<>();
    private final Set<String> held = new LinkedHashSet<>();
    private volatile String id;
    private ServerSocket server;
    private long seq;
    private long bornMillis;
    private volatile boolean crashing;
    private boolean busy;
    private int life;
    private int running;
    private volatile LateRule lateRule = (order, count) -> -1;

    private volatile CrashRule crashRule = request -> -1;

    /** What the engine was ordered to hold beyond its memory; empty if the rule held. */
    volatile String overcommitted = "";

    Engine(
            String id,
            String service,
            String host,
            int port,
            double weightsMb,
            double modelMb,
            long storeLoadMillis,
            long diskLoadMillis,
            List<String> models,
            Recorder recorder,
            Store store)
            throws IOException {
        this.name = id;
        this.id = id;
        this.service = service;
        this.host = host;
        this.port = port;
        this.weightsMb = weightsMb;
        this.modelMb = modelMb;
        this.storeLoadMillis = storeLoadMillis;
        this.diskLoadMillis = diskLoadMillis;
        this.recorder = recorder;
        this.store = store;
        held.addAll(models);
        onDisk.addAll(models);
        begin();
    }

    /** Decides whether a request crashes the engine; returns after how many milliseconds, or a negative number. */
    interface CrashRule {
        long crashMillis(Http.Message request);
    }

    void crashRule(CrashRule rule) {
        crashRule = rule;
    }

    void lateRule(LateRule rule) {
        lateRule = rule;
    }

    private synchronized void begin() throws IOException {
        life++;
        bornMillis = System.currentTimeMillis();
        server = new ServerSocket(port, 200, InetAddress.getByName(host));
        ServerSocket current = server;
        Threads.start(id, () -> accept(current));
        publish();
        recorder.add("engine %s begins with models %s", id, held);
    }

    /** Ends this life at once; {@link #restart} begins the next one, under the same id. */
    void losePower() throws IOException {
        synchronized (this) {
            server.close();
            held.clear();
            seq = 0;
            busy = false;
            running = 0;
            life++;
        }
        for (Socket channel : new ArrayList<>(channels)) {
            channel.close();
        }
        recorder.add("engine %s ends", id);
    }

    /** Begins the next life under the same id. */
    void restart() throws IOException {
        begin();
    }

    /**
     * Crashes now and is back some time later, empty and under a new id. The entry of the life that ended is removed after three
     * heartbeats of silence.
     */
    void crash(long backMillis) {
        synchronized (this) {
            if (crashing) {
                return;
            }
            crashing = true;
        }
        String ended = id;
        Threads.start("crash", () -> {
            try {
                losePower();
                Threads.sleep(backMillis);
                id = name + "-" + life;
                begin();
                crashing = false;
                Threads.sleep(Math.max(0, 3_600 - backMillis));
                store.remove("servers", ended);
            } catch (IOException failure) {
                recorder.say("engine %s is not back: %s", name, failure);
            }
        });
    }

    synchronized List<String> models() {
        return new ArrayList<>(held);
    }

    synchronized long seq() {
        return seq;
    }

    /** Writes the row of the engine, as it does when more than its count changes. */
    private void publish() {
        store.put(
                "servers",
                id,
                "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"mid-a\",\"version\":\"v1\",\"slots\":64,"
                                .formatted(service, host, port)
                        + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"mixed\",\"models\":" + modelList()
                        + ",\"seq\":" + seq + ",\"born\":" + bornMillis + "}");
    }

    private String modelList() {
        List<String> list = new ArrayList<>();
        held.forEach(model -> list.add("{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}"));
        return "[" + String.join(",", list) + "]";
    }

    private void accept(ServerSocket from) {
        while (true) {
            try {
                Socket socket = from.accept();
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
                answer(request, socket.getOutputStream());
            }
        } catch (IOException | NumberFormatException ended) {
            // The caller has closed the channel, or the engine has lost power.
        } finally {
            channels.remove(socket);
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException {
        String path = request.firstLine[1];
        String target = request.field("target-replica");
        if (target != null && !target.equals(id)) {
            Http.write(out, Http.response("421 Misdirected Request", Map.of("Replica-Id", id), new byte[0]));
        } else if (path.equals("/report")) {
            Http.write(out, json("200 OK", report()));
        } else if (path.equals("/healthz")) {
            Http.write(out, Http.response("200 OK", Map.of("Replica-Id", id), new byte[0]));
        } else if (path.equals("/order")) {
            order(request, out);
        } else {
            stream(request, out);
        }
    }

    private static byte[] json(String status, String body) {
        return Http.response(status, Map.of("Content-Type", "application/json"), body.getBytes());
    }

    private synchronized String report() {
        String disk = "[" + String.join(",", onDisk.stream().map(name -> "\"" + name + "\"").toList()) + "]";
        return "{\"stage\":\"mixed\",\"models\":" + modelList() + ",\"busy\":" + busy + ",\"seq\":" + seq
                + ",\"waiting\":0,\"running\":" + running + ",\"kv_used\":0,\"kv_total\":155395,\"handles\":0,\"born\":"
                + bornMillis + ",\"at_hand\":{\"in_memory\":[],\"on_disk\":" + disk + "},\"runs\":[]}";
    }

    private void order(Http.Message request, OutputStream out) throws IOException {
        String order = request.text();
        long late;
        synchronized (this) {
            late = lateRule.lateMillis(order, seq);
        }
        recorder.add("order %s target=%s seq=%d", order, request.field("target-replica"), seq());
        if (late >= 0) {
            recorder.say("order is left without an answer, and carried out %d ms later", late);
            Threads.start("late", () -> {
                Threads.sleep(late);
                String answer = begin(order);
                recorder.say("late order %s carried out: %s", order, answer);
            });
            return;
        }
        String answer = begin(order);
        recorder.add("order answered %s", answer);
        Http.write(out, json(answer, "{}"));
    }

    /** Begins to carry out an order and returns the status. */
    private synchronized String begin(String order) {
        String model = text(order, "model");
        boolean isLoad = "load".equals(text(order, "op"));
        String precondition = number(order, "precondition");
        if (busy || precondition != null && Long.parseLong(precondition) != seq) {
            return "409 Conflict";
        }
        if (isLoad == held.contains(model)) {
            return "200 OK";
        }
        seq++;
        if (isLoad && (held.size() + 1) * modelMb > weightsMb) {
            overcommitted = "ordered to load %s beside %s: %.0f MB of %.0f MB, by %s"
                    .formatted(model, held, (held.size() + 1) * modelMb, weightsMb, order);
            recorder.say("LIMIT broken: %s", overcommitted);
            crash(2_000);
            return "202 Accepted, and crashed";
        }
        busy = true;
        int orderedIn = life;
        long millis = !isLoad ? 50 : onDisk.contains(model) ? diskLoadMillis : storeLoadMillis;
        if (!isLoad) {
            held.remove(model);
            publish();
        }
        Threads.start("order", () -> {
            Threads.sleep(millis);
            finish(isLoad, model, orderedIn);
        });
        return "202 Accepted";
    }

    private synchronized void finish(boolean isLoad, String model, int orderedIn) {
        if (orderedIn != life) {
            return;
        }
        busy = false;
        if (isLoad) {
            held.add(model);
            onDisk.add(model);
            publish();
        }
        recorder.add("order done, replica %s models %s seq %d", id, held, seq);
    }

    private void stream(Http.Message request, OutputStream out) throws IOException {
        String model = String.valueOf(request.field("model"));
        String attempt = request.field("attempt-id");
        synchronized (this) {
            if (!held.contains(model)) {
                recorder.add("not here id=%s model=%s", attempt, model);
                Http.write(
                        out,
                        Http.response(
                                "421 Misdirected Request",
                                Map.of("Replica-Id", id, "Attempt-Id", attempt),
                                new byte[0]));
                return;
            }
            running++;
        }
        recorder.add("run id=%s model=%s replica=%s", attempt, model, id);
        long crashMillis = crashRule.crashMillis(request);
        if (crashMillis >= 0) {
            recorder.say("engine %s began to run %s, crashes in %d ms", id, attempt, crashMillis);
            Threads.start("poison", () -> {
                Threads.sleep(crashMillis);
                crash(2_000);
            });
        }
        try {
            Http.write(
                    out,
                    ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + attempt
                                    + "\r\nServer-Seal: seal." + id + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                            .getBytes());
            String after = request.field("last-event-id");
            for (int event = after == null ? 1 : Integer.parseInt(after) + 1; event <= EVENTS; event++) {
                Threads.sleep(EVENT_MILLIS);
                String text = "id: " + event + "\ndata: " + attempt + "\n\n";
                Http.write(out, (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
            }
            Http.write(out, "0\r\n\r\n".getBytes());
        } finally {
            synchronized (this) {
                running = Math.max(0, running - 1);
            }
        }
    }

    static String text(String json, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return matcher.find() ? matcher.group(1) : null;
    }

    private static String number(String json, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\"\\s*:\\s*(\\d+)").matcher(json);
        return matcher.find() ? matcher.group(1) : null;
    }
}
