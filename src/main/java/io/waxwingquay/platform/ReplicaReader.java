package io.waxwingquay.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.fleet.RunningRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Decodes the state of replicas, from their rows in the store and from their own reports. */
final class ReplicaReader {

    private ReplicaReader() {}

    /** Decodes a row; empty if its state is unknown, or if a required field is missing or of another type. */
    static Optional<ReplicaRecord> row(String id, JsonNode node) {
        Optional<String> state = JsonFields.text(node, "state");
        Optional<String> service = JsonFields.text(node, "service");
        Optional<HostPort> address = JsonFields.text(node, "address").flatMap(ReplicaReader::address);
        boolean isKnownState = state.filter(word -> word.equals("ready") || word.equals("draining"))
                .isPresent();
        if (id.isEmpty() || !isKnownState || service.isEmpty() || address.isEmpty() || !isInteger(node, "slots")) {
            return Optional.empty();
        }
        JsonNode remaining = node.get("remaining_ms");
        return Optional.of(new ReplicaRecord(
                id,
                JsonFields.longOr(node, "born", 0L),
                service.get(),
                JsonFields.text(node, "version").orElse(""),
                address.get(),
                JsonFields.text(node, "zone").orElse(""),
                (int) JsonFields.longOr(node, "slots", 1L),
                state.get().equals("draining"),
                remaining != null && remaining.isNumber()
                        ? OptionalLong.of(remaining.longValue())
                        : OptionalLong.empty(),
                models(node)));
    }

    /**
     * Decodes an engine's report of its load.
     *
     * @param node the body of the answer.
     * @param announcedLeaving whether the head of the answer announces that the engine is about to leave.
     */
    static EngineReport report(JsonNode node, boolean announcedLeaving) {
        JsonNode atHand = node.path("at_hand");
        return new EngineReport(
                JsonFields.longOr(node, "born", 0L),
                JsonFields.longOr(node, "seq", 0L),
                node.path("busy").asBoolean(false),
                (int) JsonFields.longOr(node, "running", 0L),
                (int) JsonFields.longOr(node, "waiting", 0L),
                JsonFields.longOr(node, "kv_used", 0L),
                JsonFields.longOr(node, "kv_total", 0L),
                models(node),
                Set.copyOf(new HashSet<>(loadingAdapters(node))),
                Set.copyOf(new HashSet<>(JsonFields.texts(atHand, "in_memory"))),
                Set.copyOf(new HashSet<>(JsonFields.texts(atHand, "on_disk"))),
                announcedLeaving
                        || JsonFields.text(node, "state")
                                .filter("draining"::equals)
                                .isPresent(),
                runs(node));
    }

    /** Reads the runs, each of which is a list of attempt id, tokens in memory, events made and priority. */
    private static List<RunningRequest> runs(JsonNode node) {
        return JsonFields.list(node, "runs").stream()
                .filter(run -> run.path(0).isTextual())
                .map(run -> new RunningRequest(
                        run.get(0).textValue(),
                        run.path(1).asLong(),
                        run.path(2).asLong(),
                        run.path(3).asInt()))
                .toList();
    }

    /**
     * Returns the adapters being loaded, listed as MODEL/NAME@VERSION, without the version, which requests don't
     * name.
     */
    private static List<String> loadingAdapters(JsonNode node) {
        return JsonFields.texts(node, "coming").stream()
                .map(name -> name.indexOf('@') < 0 ? name : name.substring(0, name.indexOf('@')))
                .toList();
    }

    private static List<ReplicaRecord.ResidentModel> models(JsonNode node) {
        return JsonFields.list(node, "models").stream()
                .filter(model -> JsonFields.text(model, "name").isPresent())
                .map(model -> new ReplicaRecord.ResidentModel(
                        model.get("name").textValue(), adapterNames(JsonFields.list(model, "adapters"))))
                .toList();
    }

    private static List<String> adapterNames(List<JsonNode> adapters) {
        return adapters.stream()
                .map(each -> each.isTextual()
                        ? each.textValue()
                        : JsonFields.text(each, "name").orElse(""))
                .map(name -> name.indexOf('@') < 0 ? name : name.substring(0, name.indexOf('@')))
                .filter(name -> !name.isEmpty())
                .toList();
    }

    private static Optional<HostPort> address(String text) {
        try {
            return Optional.of(HostPort.of(text));
        } catch (IllegalArgumentException failure) {
            return Optional.empty();
        }
    }

    private static boolean isInteger(JsonNode node, String field) {
        return node.path(field).isIntegralNumber();
    }
}
