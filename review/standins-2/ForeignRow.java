import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer puts a row into the list of replicas that lacks fields and has others of another type. Its address is
 * that of a server of that writer, which answers 404 to paths that it does not know.
 */
final class ForeignRow {

    private static final String HOST = "127.0.0.1";
    private static final int REQUESTS = 200;

    private final AtomicInteger atForeignServer = new AtomicInteger();
    private int wrong;
    private int served;

    private ForeignRow() {}

    public static void main(String[] arguments) {
        Rig.run(arguments[0], () -> new ForeignRow().isBroken());
    }

    private boolean isBroken() throws Exception {
        Store store = new Store(HOST);
        for (String id : new String[] {"i-1", "i-2", "i-3"}) {
            Replica replica = new Replica(id, HOST, (self, channel, request) -> {
                Rig.record("request " + request.field("Attempt-Id") + " runs at " + self.id);
                Thread.sleep(80);
                channel.write(Http.answer(200, Replica.sealed(request), "signed " + request.field("Attempt-Id")));
            });
            store.put("servers", id, replica.row("batch-desk", "ready"));
        }
        store.put("op", "config", manifest());
        int ports = Rig.freePorts(4, HOST);
        int front = Rig.freePort(HOST);
        int ready = Rig.freePort(HOST);
        Rig.start("entry", "entry", Rig.settings("front-z-1", "entry", HOST, ports, store.address(), "", "",
                "front = \"" + HOST + ":" + front + "\"\nready = \"" + HOST + ":" + ready + "\""));
        Rig.awaitReady(HOST, ready);
        Foreign foreign = new Foreign();
        Thread.sleep(1_000);
        if (Rig.isTroubled()) {
            String row = "{\"service\":\"batch-desk\",\"address\":\"" + foreign.address()
                    + "\",\"version\":3,\"slots\":6,\"state\":\"ready\",\"seq\":\"12\"}";
            store.put("servers", "foreign-1", row);
            Rig.record("another writer puts servers/foreign-1: " + row);
        }
        Thread.sleep(3_000);
        for (int number = 0; number < REQUESTS; number++) {
            ask(front, number);
            Thread.sleep(10);
        }
        int allowed = 5 + REQUESTS / 500;
        Rig.record("requests " + REQUESTS + ", served " + served + ", ended with a 4xx without a replica's seal " + wrong
                + " (allowed " + allowed + "), delivered to the foreign server " + atForeignServer);
        return wrong > allowed;
    }

    private void ask(int port, int number) {
        try (Http.Channel channel = Http.Channel.open(HOST, port, 4_000)) {
            channel.write(Http.head("POST /sign/1 HTTP/1.1", "Host: x.example", "Attempt-Id: at-" + number,
                    "Deadline-Remaining: 4000", "Content-Length: 0"));
            Http.Message answer = Http.read(channel.in);
            Rig.record("request at-" + number + " answered " + answer.status() + " seal " + answer.field("Server-Seal")
                    + " " + answer.text());
            if (answer.status() == 200) {
                served++;
            } else if (answer.status() / 100 == 4 && answer.field("Server-Seal") == null) {
                wrong++;
            }
        } catch (IOException failure) {
            Rig.record("request at-" + number + " failed: " + failure);
        }
    }

    /** A web server that is no replica. */
    private final class Foreign {

        private final java.net.ServerSocket server =
                new java.net.ServerSocket(0, 100, java.net.InetAddress.getByName(HOST));

        Foreign() throws IOException {
            Rig.daemon("foreign server", () -> {
                while (true) {
                    java.net.Socket socket = server.accept();
                    Rig.daemon("foreign channel", () -> serve(new Http.Channel(socket)));
                }
            });
        }

        String address() {
            return HOST + ":" + server.getLocalPort();
        }

        private void serve(Http.Channel channel) throws IOException {
            try (channel) {
                while (true) {
                    Http.Message request = Http.read(channel.in);
                    atForeignServer.incrementAndGet();
                    Rig.record("foreign server gets " + request.start + " " + request.field("Attempt-Id"));
                    channel.write(Http.answer(404, "", "no such page"));
                }
            }
        }
    }

    private static String manifest() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"x.example\",\"prefix\":\"/sign/\","
                + "\"kind\":\"unsafe\",\"timeout_ms\":4000,\"target_latency_ms\":386,\"priority\":1,"
                + "\"service\":\"batch-desk\",\"max_attempts\":2}],"
                + "\"services\":[{\"name\":\"batch-desk\",\"health_path\":\"/healthz\",\"max_conns\":110}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }
}
