import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A replica of a plain service: it runs what is addressed to it, and answers by a configured behaviour. */
final class Replica {

    /** What a replica does with a request that it runs. */
    interface Behaviour {
        void run(Replica replica, Http.Channel channel, Http.Message request) throws IOException, InterruptedException;
    }

    final String id;
    private final ServerSocket server;
    private final Set<Http.Channel> channels = ConcurrentHashMap.newKeySet();
    volatile Behaviour behaviour;

    /** The time after which an idle channel is closed; below a second, there are no whole seconds to state. */
    volatile int idleMillis = 900;

    Replica(String id, String host, Behaviour behaviour) throws IOException {
        this.id = id;
        this.behaviour = behaviour;
        this.server = new ServerSocket(0, 1_000, InetAddress.getByName(host));
        Rig.daemon("replica " + id, this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Exits: closes its listener and all channels. */
    void exit() throws IOException {
        server.close();
        channels.forEach(Http.Channel::reset);
    }

    String row(String service, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address()
                + "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"seq\":1,\"born\":1700000000000}";
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Rig.daemon("replica channel", () -> serve(new Http.Channel(socket)));
        }
    }

    private void serve(Http.Channel channel) throws IOException, InterruptedException {
        channels.add(channel);
        try (channel) {
            while (true) {
                channel.socket.setSoTimeout(idleMillis);
                Http.Message request = Http.read(channel.in);
                String addressee = request.field("Target-Replica");
                if (request.path().equals("/health")) {
                    channel.write(Http.answer(200, "Replica-Id: " + id + "\r\n", ""));
                } else if (addressee != null && !addressee.equals(id)) {
                    Rig.record("replica " + id + " answers 421 to " + request.field("Attempt-Id"));
                    channel.write(Http.answer(421, "Replica-Id: " + id + "\r\n" + echoed(request), ""));
                } else {
                    behaviour.run(this, channel, request);
                }
            }
        } finally {
            channels.remove(channel);
        }
    }

    static String echoed(Http.Message request) {
        return "Attempt-Id: " + request.field("Attempt-Id") + "\r\n";
    }

    static String sealed(Http.Message request) {
        return echoed(request) + "Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
    }
}
