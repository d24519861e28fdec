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
import java.util.concurrent.CopyOnWriteArrayList;
import org.eclipse.jetty.http.HttpFields;

/**
 * A model engine or a plain service: it answers requests as it is told, and carries out orders at once.
 */
public final class ReplicaStandin {

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
    private volatile boolean unresponsive;
    private long acceptedOrders;

    private ReplicaStandin(String id, HostPort address, List<String> models, Behaviour behaviour) {
        this.id = id;
        this.address = address;
        this.behaviour = behaviour;
        models.forEach(model -> this.adaptersByModel.put(model, new TreeSet<>()));
    }

    /**
     * Starts a replica.
     *
     * @param loop where it runs.
     * @param id its id.
     * @param address where it listens.
     * @param models what it holds at first; empty for a plain service.
     * @param behaviour what it does with a request.
     * @return the replica.
     */
    public static ReplicaStandin start(
            EventLoop loop, String id, HostPort address, List<String> models, Behaviour behaviour) {
        ReplicaStandin replica = new ReplicaStandin(id, address, models, behaviour);
        HttpServer.listen(loop, new InetSocketAddress(address.host(), address.port()), replica::handle);
        return replica;
    }

    /**
     * Sets what it does with requests from now on.
     *
     * @param newBehaviour what it does.
     */
    public void behaviour(Behaviour newBehaviour) {
        behaviour = newBehaviour;
    }

    /**
     * Stands still, as with its machine: it takes connections and bytes, and answers nothing, not even what it holds.
     * What it is asked meanwhile stays without an answer.
     *
     * @param isUnresponsive whether it does.
     */
    public void unresponsive(boolean isUnresponsive) {
        unresponsive = isUnresponsive;
    }

    /**
     * The requests that it began to run.
     *
     * @return their ids, in order.
     */
    public List<String> startedAttemptIds() {
        return startedAttemptIds;
    }

    /**
     * What it says of itself in the list of replicas.
     *
     * @param service the service.
     * @param zone its data centre.
     * @param state {@code ready} or {@code draining}.
     * @return the row's value.
     */
    public String row(String service, String zone, String state) {
        ObjectNode row = MAPPER.createObjectNode()
                .put("service", service)
                .put("address", address.toString())
                .put("zone", zone)
                .put("slots", 8)
                .put("state", state)
                .put("born", 1);
        row.set("models", modelList());
        return row.toString();
    }

    private void handle(ServerExchange caller) {
        if (unresponsive) {
            return;
        }
        switch (caller.request().path()) {
            case "/report" -> caller.respond(OK, HttpFields.EMPTY, report());
            case "/order" -> carryOutOrder(caller);
            default -> runRequest(caller);
        }
    }

    private void runRequest(ServerExchange caller) {
        HttpFields fields = caller.request().fields();
        String targetReplica = fields.get("Target-Replica");
        String model = fields.get("Model");
        if (targetReplica != null && !targetReplica.equals(id) || model != null && !holds(model)) {
            caller.respond(MISDIRECTED, HttpFields.build().put("Replica-Id", id), "not here");
            return;
        }
        startedAttemptIds.add(fields.get("Attempt-Id"));
        behaviour.run(this, caller);
    }

    private boolean holds(String model) {
        String[] parts = model.split("/", 2);
        Set<String> adapters = adaptersByModel.get(parts[0]);
        return adapters != null && (parts.length == 1 || adapters.contains(parts[1]));
    }

    private void carryOutOrder(ServerExchange caller) {
        JsonNode order;
        try {
            order = MAPPER.readTree(caller.request().body());
        } catch (IOException failure) {
            throw new IllegalArgumentException("an order can't be read", failure);
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

    /** What a replica does with a request that it runs. */
    @FunctionalInterface
    public interface Behaviour {

        /** Answers at once with the request's body. */
        Behaviour ECHO = (engine, caller) -> caller.respond(
                OK, engine.responseFields(caller), caller.request().body());

        /**
         * Runs a request.
         *
         * @param engine the replica.
         * @param caller the request and the way back.
         */
        void run(ReplicaStandin engine, ServerExchange caller);

        /**
         * Streams numbered events, from the one after {@code Last-Event-Id}.
         *
         * @param lastEvent the last event's number.
         * @param breakAfterEvent after which event it breaks off in the middle of the next; 0 for a whole stream.
         * @return the behaviour.
         */
        static Behaviour stream(int lastEvent, int breakAfterEvent) {
            return (engine, caller) -> {
                String lastEventId = caller.request().fields().get("Last-Event-Id");
                int first = lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1;
                caller.begin(
                        OK, HttpFields.build(engine.responseFields(caller)).put("Content-Type", "text/event-stream"));
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
    }

    /**
     * The header fields of an answer: the request's id and the replica's seal.
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
