import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A replica with a model engine: reports, orders with their precondition, load times, and streams of two events. */
final class Engine {

    static final double MODEL_MB = 72_700;
    static final double ADAPTER_MB = 66;
    static final double WEIGHTS_MB = 230_000;
    private static final long DISK_MILLIS = 1_300;
    private static final long STORE_MILLIS = 6_400;

    /** One order as it was received. */
    record Order(String op, String model, String adapter, long precondition, String addressee) {
        @Override
        public String toString() {
            return op + " " + model + (adapter.isEmpty() ? "" : "/" + adapter) + " precondition=" + precondition
                    + " target=" + addressee;
        }
    }

    /** Decides whether an order is kept back without an answer, to be carried out late. */
    interface Late {
        boolean keepsBack(Engine engine, Order order);
    }

    final String id;
    private final Store store;
    private final String service;
    private final String host;
    private final int port;
    private final Map<String, Set<String>> models = new TreeMap<>();
    private final Set<String> disk = new TreeSet<>();
    private final Set<Http.Channel> channels = ConcurrentHashMap.newKeySet();
    private final Set<String> pendingLoads = new LinkedHashSet<>();
    private ServerSocket server;
    private long born = System.currentTimeMillis();
    private long accepted;
    private long busyUntil;
    private int life;
    private boolean up;
    volatile Late late = (engine, order) -> false;
    volatile boolean overloaded;

    Engine(String id, String service, String host, Store store, String... held) throws IOException {
        this.id = id;
        this.service = service;
        this.host = host;
        this.store = store;
        this.server = new ServerSocket(0, 100, InetAddress.getByName(host));
        this.port = server.getLocalPort();
        for (String model : held) {
            models.put(model, new TreeSet<>());
            disk.add(model);
        }
        begin();
    }

    String address() {
        return host + ":" + port;
    }

    synchronized Set<String> held() {
        return new TreeSet<>(models.keySet());
    }

    synchronized long accepted() {
        return accepted;
    }

    synchronized boolean isBusy() {
        return Rig.millis() < busyUntil;
    }

    private void begin() {
        up = true;
        ServerSocket listening = server;
        Rig.daemon("engine " + id, () -> {
            while (true) {
                Socket socket = listening.accept();
                Rig.daemon("engine channel", () -> serve(new Http.Channel(socket)));
            }
        });
        writeRow();
    }

    /** Loses power: nothing answers until {@link #restart}. */
    synchronized void powerOff() throws IOException {
        up = false;
        life++;
        server.close();
        channels.forEach(Http.Channel::reset);
        models.clear();
        pendingLoads.clear();
        accepted = 0;
        busyUntil = 0;
        Rig.record("engine " + id + " loses power");
    }

    /** Starts again, empty, under the same id; its disk is as it was. */
    synchronized void restart() throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new java.net.InetSocketAddress(host, port), 100);
        born = System.currentTimeMillis();
        begin();
        Rig.record("engine " + id + " starts again under the same id, empty");
    }

    private synchronized void writeRow() {
        store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + address()
                + "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,"
                + "\"seq\":" + accepted + ",\"born\":" + born + ",\"stage\":\"mixed\",\"models\":" + modelList() + "}");
    }

    private String modelList() {
        List<String> list = new ArrayList<>();
        models.forEach((name, adapters) -> {
            List<String> names = adapters.stream().map(each -> "\"" + each + "\"").toList();
            list.add("{\"name\":\"" + name + "\",\"version\":1,\"adapters\":[" + String.join(",", names) + "]}");
        });
        return "[" + String.join(",", list) + "]";
    }

    private synchronized String report() {
        String onDisk = String.join(",", disk.stream().map(each -> "\"" + each + "\"").toList());
        return "{\"stage\":\"mixed\",\"models\":" + modelList() + ",\"busy\":" + isBusy() + ",\"seq\":" + accepted
                + ",\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":155395,\"handles\":0,\"born\":" + born
                + ",\"coming\":[],\"at_hand\":{\"in_memory\":[],\"on_disk\":[" + onDisk + "]},\"runs\":[]}";
    }

    private void serve(Http.Channel channel) throws IOException, InterruptedException {
        channels.add(channel);
        try (channel) {
            while (up) {
                Http.Message request = Http.read(channel.in);
                String addressee = request.field("Target-Replica");
                if (request.path().equals("/report")) {
                    channel.write(Http.answer(200, "Content-Type: application/json\r\n", report()));
                } else if (request.path().equals("/healthz")) {
                    channel.write(Http.answer(200, "Replica-Id: " + id + "\r\n", ""));
                } else if (addressee != null && !addressee.equals(id)) {
                    channel.write(Http.answer(421, "Replica-Id: " + id + "\r\n", ""));
                } else if (request.path().equals("/order")) {
                    order(channel, request);
                } else {
                    run(channel, request);
                }
            }
        } finally {
            channels.remove(channel);
        }
    }

    private void order(Http.Channel channel, Http.Message request) throws IOException, InterruptedException {
        String text = request.text();
        Order order = new Order(
                field(text, "op"),
                field(text, "model"),
                field(text, "adapter"),
                Long.parseLong(field(text, "precondition").isEmpty() ? "-1" : field(text, "precondition")),
                String.valueOf(request.field("Target-Replica")));
        if (late.keepsBack(this, order)) {
            Rig.record("order kept back without an answer: " + order + ", held " + held());
            Thread.sleep(Long.MAX_VALUE);
        }
        int status = carryOut(order);
        Rig.record("order " + order + " from " + field(text, "holder") + " -> " + status + ", held " + held());
        channel.write(Http.answer(status, "", ""));
    }

    /** Carries an order out now, if its precondition holds; returns the status. */
    synchronized int carryOut(Order order) {
        boolean isAdapter = !order.adapter.isEmpty();
        if (!up || isBusy() || order.precondition >= 0 && order.precondition != accepted) {
            return 409;
        }
        boolean holds = isAdapter
                ? models.containsKey(order.model) && models.get(order.model).contains(order.adapter)
                : models.containsKey(order.model);
        if (order.op.equals("load") && holds || order.op.equals("unload") && !holds) {
            return 200;
        }
        accepted++;
        if (order.op.equals("unload")) {
            if (isAdapter) {
                models.get(order.model).remove(order.adapter);
            } else {
                models.remove(order.model);
            }
        } else if (isAdapter) {
            if (!models.containsKey(order.model)) {
                accepted--;
                return 421;
            }
            models.get(order.model).add(order.adapter);
        } else {
            load(order.model);
        }
        double adapters = models.values().stream().mapToInt(Set::size).sum() * ADAPTER_MB;
        double total = (models.size() + pendingLoads.size()) * MODEL_MB + adapters;
        if (total > WEIGHTS_MB) {
            overloaded = true;
            Rig.record("LIMIT: the engine has accepted " + order + ": " + held() + " and " + pendingLoads + " take "
                    + Math.round(total) + " MB of " + Math.round(WEIGHTS_MB) + "; it crashes");
        }
        writeRow();
        return 202;
    }

    private void load(String model) {
        long millis = disk.contains(model) ? DISK_MILLIS : STORE_MILLIS;
        busyUntil = Rig.millis() + millis;
        pendingLoads.add(model);
        int inLife = life;
        Rig.daemon("load", () -> {
            Thread.sleep(millis);
            synchronized (this) {
                if (life == inLife) {
                    pendingLoads.remove(model);
                    models.put(model, new TreeSet<>());
                    disk.add(model);
                    writeRow();
                    Rig.record("engine holds " + held() + " after " + accepted + " orders");
                }
            }
        });
    }

    private void run(Http.Channel channel, Http.Message request) throws IOException, InterruptedException {
        String[] model = String.valueOf(request.field("Model")).split("/");
        synchronized (this) {
            Set<String> adapters = models.get(model[0]);
            if (adapters == null || model.length > 1 && !adapters.contains(model[1])) {
                channel.write(Http.answer(421, "Replica-Id: " + id + "\r\n" + Replica.echoed(request), ""));
                return;
            }
        }
        channel.write("HTTP/1.1 200 OK\r\n" + Replica.sealed(request)
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= 2; event++) {
            String text = "id: " + event + "\ndata: " + event + "\n\n";
            channel.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            Thread.sleep(10);
        }
        channel.write("0\r\n\r\n");
    }

    private static String field(String json, String name) {
        Matcher match = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(json);
        return match.find() ? match.group(1) : "";
    }
}
