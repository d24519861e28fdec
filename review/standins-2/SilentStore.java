import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The entry's open channels to the store go silent for good; later a manifest moves a route to another service. */
final class SilentStore {

    private static final String HOST = "127.0.0.1";
    private static final long STABLE_MILLIS = 3_000;
    private static final long CONFIG_APPLY_MILLIS = 2_000;

    /** Time between two questions of the entry for a new manifest, and between a change of the list and the next question. */
    private static final long POLL_MILLIS = 2_530;

    private static final long REPLICA_BATCH_MILLIS = 667;

    private final Set<Http.Channel> silent = ConcurrentHashMap.newKeySet();
    private volatile boolean goesSilentAtPoll;
    private volatile long lastPollMillis = -1;
    private volatile long silentSinceMillis = -1;
    private volatile long lastStaleMillis = -1;
    private volatile long acknowledgedMillis = Long.MAX_VALUE / 2;

    private SilentStore() {}

    public static void main(String[] arguments) {
        Rig.run(arguments[0], () -> new SilentStore().isBroken());
    }

    private boolean isBroken() throws Exception {
        Store store = new Store(HOST);
        store.hook = (channel, call) -> mayAnswer(store, channel, call);
        Replica before = new Replica("i-old", HOST, this::answer);
        Replica after = new Replica("i-new", HOST, this::answer);
        store.put("servers", before.id, before.row("desk-a", "ready"));
        store.put("servers", after.id, after.row("desk-b", "ready"));
        store.put("op", "config", manifest(7, "desk-a"));
        int ports = Rig.freePorts(4, HOST);
        int front = Rig.freePort(HOST);
        int ready = Rig.freePort(HOST);
        Rig.start("entry", "entry", Rig.settings("front-z-1", "entry", HOST, ports, store.address(), "", "",
                "front = \"" + HOST + ":" + front + "\"\nready = \"" + HOST + ":" + ready + "\""));
        Rig.awaitReady(HOST, ready);
        Thread.sleep(4_000);
        // A replica's row changes in the usual way, which decides when the entry asks for the next change of the list.
        Thread.sleep(Math.max(0, lastPollMillis + POLL_MILLIS - REPLICA_BATCH_MILLIS - Rig.millis()));
        store.put("servers", after.id, after.row("desk-b", "ready").replace("\"seq\":1", "\"seq\":2"));
        Thread.sleep(REPLICA_BATCH_MILLIS / 2);
        long begunMillis = Rig.millis();
        goesSilentAtPoll = Rig.isTroubled();
        while (Rig.isTroubled() && silentSinceMillis < 0) {
            Thread.sleep(1);
        }
        long sinceMillis = Rig.isTroubled() ? silentSinceMillis : begunMillis;
        Thread.sleep(sinceMillis + STABLE_MILLIS + 50 - Rig.millis());
        store.put("op", "config", manifest(9, "desk-b"));
        acknowledgedMillis = Rig.millis();
        Rig.record("manifest 9 acknowledged, " + (acknowledgedMillis - sinceMillis) + " ms after the channels went silent");
        while (Rig.millis() < acknowledgedMillis + 6_000) {
            ask(front);
            Thread.sleep(40);
        }
        Rig.record("last request that only manifest 7 allows was sent " + (lastStaleMillis - acknowledgedMillis)
                + " ms after the acknowledgement; " + CONFIG_APPLY_MILLIS + " ms are allowed");
        return lastStaleMillis - acknowledgedMillis > CONFIG_APPLY_MILLIS;
    }

    private boolean mayAnswer(Store store, Http.Channel channel, Http.Message call) {
        if (call != null && !silent.contains(channel)) {
            Rig.record("store channel " + channel.socket.getPort() + ": " + call.target());
            lastPollMillis = call.target().startsWith("/rows-feed?table=op") ? Rig.millis() : lastPollMillis;
            if (goesSilentAtPoll && call.target().startsWith("/rows-feed?table=servers")) {
                goesSilentAtPoll = false;
                silent.addAll(store.channels());
                silentSinceMillis = Rig.millis();
                Rig.record("the " + silent.size() + " open channels to the store go silent");
            }
        }
        return !silent.contains(channel);
    }

    private void answer(Replica replica, Http.Channel channel, Http.Message request) throws IOException {
        Rig.record("request " + request.field("Attempt-Id") + " runs at " + replica.id);
        channel.write(Http.answer(200, Replica.sealed(request), replica.id));
    }

    private void ask(int port) {
        long sentMillis = Rig.millis();
        try (Http.Channel channel = Http.Channel.open(HOST, port, 2_000)) {
            channel.write(Http.head("POST /a/1 HTTP/1.1", "Host: x.example", "Attempt-Id: at-" + sentMillis,
                    "Deadline-Remaining: 2000", "Content-Length: 0"));
            Http.Message answer = Http.read(channel.in);
            Rig.record("request at-" + sentMillis + " answered " + answer.status() + " " + answer.text());
            if (answer.text().equals("i-old")) {
                lastStaleMillis = sentMillis;
            }
        } catch (IOException failure) {
            Rig.record("request at-" + sentMillis + " failed: " + failure);
        }
    }

    private static String manifest(int version, String service) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"x.example\",\"prefix\":\"/a/\","
                + "\"kind\":\"unsafe\",\"timeout_ms\":4000,\"target_latency_ms\":386,\"priority\":1,"
                + "\"service\":\"" + service + "\",\"max_attempts\":2}],"
                + "\"services\":[{\"name\":\"desk-a\",\"health_path\":\"/healthz\",\"max_conns\":110},"
                + "{\"name\":\"desk-b\",\"health_path\":\"/healthz\",\"max_conns\":110}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }
}
