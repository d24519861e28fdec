package io.waxwingquay.standin.prepared;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.HttpServer;
import io.waxwingquay.net.ServerExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.eclipse.jetty.http.HttpFields;

/**
 * A stand-in for a replica, which is a model engine or a plain service. It answers requests according to a configured
 * behaviour and carries out orders immediately.
 */
public final class ReplicaStandin {

    /** The path of the health check. */
    public static final String HEALTH_PATH = "/health";

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int CONFLICT = 409;
    private static final int MISDIRECTED = 421;
    private static final JsonMapper MAPPER = new JsonMapper();

    private final String id;
    private final HostPort address;
    private final Map<String, Set<String>> adaptersByModel = new TreeMap<>();
    private final List<String> startedAttemptIds = new CopyOnWriteArrayList<>();
    private volatile Behaviour behaviour;
    private volatile String softwareVersion = "v1";
    private volatile boolean unresponsive;
    private volatile boolean reportsWithheld;
    private volatile HttpFields reportFields = HttpFields.EMPTY;
    private volatile long bornMillis = 1;
    private long acceptedOrders;
    private Runnable connectionCloser = () -> {};

    private ReplicaStandin(String id, HostPort address, List<String> models, Behaviour behaviour) {
        this.id = id;
        this.address = address;
        this.behaviour = behaviour;
        models.forEach(model -> this.adaptersByModel.put(model, new TreeSet<>()));
    }

    /**
     * Starts a replica.
     *
     * @param loop the event loop to run on.
     * @param id the id of the replica.
     * @param address the address to listen on.
     * @param models the models in memory at the start; empty for a plain service.
     * @param behaviour the behaviour for each request.
     * @return the replica.
     */
    public static ReplicaStandin start(
            EventLoop loop, String id, HostPort address, List<String> models, Behaviour behaviour) {
        ReplicaStandin replica = new ReplicaStandin(id, address, models, behaviour);
        HttpServer server =
                HttpServer.listen(loop, new InetSocketAddress(address.host(), address.port()), replica::handle);
        replica.connectionCloser = () ->
                CompletableFuture.runAsync(server::closeIdle, loop::execute).join();
        return replica;
    }

    /**
     * Sets the behaviour for requests from now on.
     *
     * @param newBehaviour the behaviour.
     */
    public void behaviour(Behaviour newBehaviour) {
        behaviour = newBehaviour;
    }

    /**
     * Sets the version of the replica's software that its row states from now on.
     *
     * @param version the version.
     */
    public void softwareVersion(String version) {
        softwareVersion = version;
    }

    /**
     * Makes the replica unresponsive, as if its machine were suspended: it accepts connections and bytes, but answers
     * neither requests nor queries of its state. Requests received in this state are never answered.
     *
     * @param isUnresponsive whether the replica is unresponsive.
     */
    public void unresponsive(boolean isUnresponsive) {
        unresponsive = isUnresponsive;
    }

    /**
     * Sets whether queries of the replica's state get no answer, as if the process that asks were away.
     *
     * @param areWithheld whether reports are withheld.
     */
    public void withholdReports(boolean areWithheld) {
        reportsWithheld = areWithheld;
    }

    /** Has the connection closed by which a report was asked for, so that it serves no request afterwards. */
    public void closeConnectionsAfterReports() {
        reportFields = HttpFields.build().put("Connection", "close");
    }

    /**
     * Returns the attempts that the replica started to run.
     *
     * @return the attempt ids, in order of their start.
     */
    public List<String> startedAttemptIds() {
        return startedAttemptIds;
    }

    /**
     * Returns this replica's row in the table of replicas.
     *
     * @param service the service that the replica belongs to.
     * @param zone the data centre of the replica.
     * @param state {@code ready} or {@code draining}.
     * @return the row's value as JSON.
     */
    public String row(String service, String zone, String state) {
        ObjectNode row = MAPPER.createObjectNode()
                .put("service", service)
                .put("address", address.toString())
                .put("version", softwareVersion)
                .put("zone", zone)
                .put("slots", 8)
                .put("state", state)
                .put("born", bornMillis);
        row.set("models", modelList());
        return row.toString();
    }

    /**
     * Returns the birth of this incarnation.
     *
     * @return the time in milliseconds.
     */
    public long bornMillis() {
        return bornMillis;
    }

    /** Begins a new incarnation with the same models, as after a crash; its row is to be written anew. */
    public void restart() {
        bornMillis++;
        acceptedOrders = 0;
    }

    /**
     * Begins a new incarnation at another software version, with the same models; its connections without a request are
     * closed when this method returns. Its row keeps the former version until it is written anew. Not to be called on its
     * event loop.
     *
     * @param version the version.
     */
    public void restartAt(String version) {
        connectionCloser.run();
        softwareVersion = version;
        restart();
    }

    private void handle(ServerExchange caller) {
        if (unresponsive) {
            return;
        }
        if (reportsWithheld && caller.request().path().equals("/report")) {
            return;
        }
        switch (caller.request().path()) {
            case "/report" -> caller.respond(OK, reportFields, report());
            case "/order" -> carryOutOrder(caller);
            case HEALTH_PATH -> caller.respond(OK, HttpFields.build().put("Replica-Id", id), "healthy");
            default -> runRequest(caller);
        }
    }

    private void runRequest(ServerExchange caller) {
        HttpFields fields = caller.request().fields();
        String model = fields.get("Model");
        if (isForOther(fields) || model != null && !holds(model)) {
            caller.respond(MISDIRECTED, HttpFields.build().put("Replica-Id", id), "not here");
            return;
        }
        startedAttemptIds.add(fields.get("Attempt-Id"));
        behaviour.run(this, caller);
    }

    private boolean isForOther(HttpFields fields) {
        String targetReplica = fields.get("Target-Replica");
        return targetReplica != null && !targetReplica.equals(id);
    }

    private boolean holds(String model) {
        String[] parts = model.split("/", 2);
        Set<String> adapters = adaptersByModel.get(parts[0]);
        return adapters != null && (parts.length == 1 || adapters.contains(parts[1]));
    }

    private void carryOutOrder(ServerExchange caller) {
        if (isForOther(caller.request().fields())) {
            caller.respond(MISDIRECTED, HttpFields.build().put("Replica-Id", id), "not here");
            return;
        }
        JsonNode order;
        try {
            order = MAPPER.readTree(caller.request().body());
        } catch (IOException failure) {
            throw new IllegalArgumentException("cannot parse an order", failure);
        }
        if (order.has("precondition") && order.get("precondition").longValue() != acceptedOrders) {
            caller.respond(CONFLICT, HttpFields.EMPTY, "other orders came before");
            return;
        }
        acceptedOrders++;
        boolean load = order.path("op").asText().equals("load");
        String model = order.path("model").asText();
        if (order.has("adapter")) {
            Set<String> adapters = adaptersByModel.get(model);
            if (load) {
                adapters.add(order.get("adapter").textValue());
            } else {
                adapters.remove(order.get("adapter").textValue());
            }
        } else if (load) {
            adaptersByModel.put(model, new TreeSet<>());
        } else {
            adaptersByModel.remove(model);
        }
        caller.respond(ACCEPTED, HttpFields.EMPTY, "");
    }

    private String report() {
        ObjectNode report = MAPPER.createObjectNode()
                .put("born", bornMillis)
                .put("busy", false)
                .put("seq", acceptedOrders)
                .put("running", 0)
                .put("waiting", 0)
                .put("kv_total", 10_000);
        report.set("models", modelList());
        report.putObject("at_hand").putArray("on_disk");
        return report.toString();
    }

    private ArrayNode modelList() {
        ArrayNode list = MAPPER.createArrayNode();
        adaptersByModel.forEach((name, adapters) -> {
            ObjectNode model = list.addObject().put("name", name).put("version", 1);
            ArrayNode names = model.putArray("adapters");
            adapters.forEach(names::add);
        });
        return list;
    }

    /** The behaviour of a replica for a request that it runs. */
    @FunctionalInterface
    public interface Behaviour {

        /** Responds immediately with the request's body. */
        Behaviour ECHO = (replica, caller) -> caller.respond(
                OK, replica.responseFields(caller), caller.request().body());

        /**
         * Runs a request.
         *
         * @param replica the replica.
         * @param caller the request, with its response channel.
         */
        void run(ReplicaStandin replica, ServerExchange caller);

        /**
         * Returns a behaviour that streams numbered events, starting after {@code Last-Event-Id}.
         *
         * @param lastEvent the number of the last event.
         * @param breakAfterEvent the event after which the stream is aborted, in the middle of the next event; 0 for a
         *     complete stream.
         * @return the behaviour.
         */
        static Behaviour stream(int lastEvent, int breakAfterEvent) {
            return (replica, caller) -> {
                String lastEventId = caller.request().fields().get("Last-Event-Id");
                int first = lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1;
                caller.begin(
                        OK, HttpFields.build(replica.responseFields(caller)).put("Content-Type", "text/event-stream"));
                for (int number = first; number <= lastEvent; number++) {
                    String event = "id: " + number + "\ndata: event " + number + "\n\n";
                    if (breakAfterEvent > 0 && number > breakAfterEvent) {
                        caller.write(ByteBuffer.wrap(event.substring(0, 9).getBytes(StandardCharsets.UTF_8)));
                        caller.abort();
                        return;
                    }
                    caller.write(ByteBuffer.wrap(event.getBytes(StandardCharsets.UTF_8)));
                }
                caller.finish();
            };
        }

        /**
         * Returns a behaviour that crashes the replica when it begins to answer a request whose prompt has a certain part
         * that is not the last.
         *
         * @param promptPart the id of the part.
         * @param written what it has written of the answer's body before it crashes, which is no whole event.
         * @param otherwise the behaviour for other requests.
         * @return the behaviour.
         */
        static Behaviour crashOn(String promptPart, String written, Behaviour otherwise) {
            return (replica, caller) -> {
                String parts = String.valueOf(caller.request().fields().get("Prompt-Prefix"));
                if (!("," + parts).matches(".*," + promptPart + ":\\d+,.*")) {
                    otherwise.run(replica, caller);
                    return;
                }
                caller.begin(
                        OK, HttpFields.build(replica.responseFields(caller)).put("Content-Type", "text/event-stream"));
                caller.write(ByteBuffer.wrap(written.getBytes(StandardCharsets.UTF_8)));
                // Whoever sees the connection break may ask for the new incarnation at once.
                replica.restart();
                caller.abort();
            };
        }

        /**
         * Returns a behaviour that answers with neither a length nor chunks, and then closes the connection in order.
         *
         * @param text the body.
         * @return the behaviour.
         */
        static Behaviour answerUntilClose(String text) {
            return (replica, caller) -> {
                caller.beginUntilClose(OK, replica.responseFields(caller));
                caller.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
                caller.finish();
            };
        }

        /**
         * Returns a behaviour that streams text with neither a length nor chunks, and then closes the connection in
         * order. A client can tell a stream that was cut from a complete one by an incomplete last event only.
         *
         * @param text the text after the head.
         * @return the behaviour.
         */
        static Behaviour streamUntilClose(String text) {
            return (replica, caller) -> {
                caller.beginUntilClose(
                        OK, HttpFields.build(replica.responseFields(caller)).put("Content-Type", "text/event-stream"));
                caller.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
                caller.finish();
            };
        }
    }

    /**
     * Returns the header fields of a response: the attempt id and the replica's seal.
     *
     * @param caller the request.
     * @return the fields.
     */
    public HttpFields responseFields(ServerExchange caller) {
        return HttpFields.build()
                .put("Attempt-Id", String.valueOf(caller.request().fields().get("Attempt-Id")))
                .put("Server-Seal", "seal-of-" + id);
    }
}
