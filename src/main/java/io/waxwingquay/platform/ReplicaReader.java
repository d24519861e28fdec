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

    /** A day, beyond which a replica is not known to end; sums with it don't overflow. */
    private static final long MAX_REMAINING_MILLIS = 86_400_000L;

    private ReplicaReader() {}

    /** Decodes a row; empty if its state is unknown, or if a required field is missing or of another type. */
    static Optional<ReplicaRecord> row(String id, JsonNode node) {
        Optional<String> state = JsonFields.text(node, "state");
        Optional<String> service = JsonFields.text(node, "service");
        Optional<HostPort> address = JsonFields.text(node, "address").flatMap(HostPort::ofNumeric);
        boolean isKnownState = state.filter(word -> word.equals("ready") || word.equals("draining"))
                .isPresent();
        if (id.isEmpty() || !isKnownState || service.isEmpty() || address.isEmpty() || !isPositiveInt(node, "slots")) {
            return Optional.empty();
        }
        JsonNode remaining = node.path("remaining_ms");
        return Optional.of(new ReplicaRecord(
                id,
                count(node, "born"),
                service.get(),
                JsonFields.text(node, "version").orElse(""),
                address.get(),
                JsonFields.text(node, "zone").orElse(""),
                node.get("slots").intValue(),
                state.get().equals("draining"),
                remaining.isNumber()
                        ? OptionalLong.of(Math.min(MAX_REMAINING_MILLIS, count(node, "remaining_ms")))
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
                count(node, "born"),
                count(node, "seq"),
                node.path("busy").asBoolean(false),
                intCount(node, "running"),
                intCount(node, "waiting"),
                count(node, "kv_used"),
                count(node, "kv_total"),
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

    /** Returns the start time that a replica states in a report; empty if it states none. */
    static OptionalLong bornMillis(JsonNode node) {
        long bornMillis = count(node, "born");
        return bornMillis == 0 ? OptionalLong.empty() : OptionalLong.of(bornMillis);
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

    private static boolean isPositiveInt(JsonNode node, String field) {
        JsonNode value = node.path(field);
        return value.isIntegralNumber() && value.canConvertToInt() && value.intValue() > 0;
    }

    /** Reads a count; 0 if it is missing, negative or too large. */
    private static long count(JsonNode node, String field) {
        JsonNode value = node.path(field);
        return value.isNumber() && value.canConvertToLong() ? Math.max(0L, value.longValue()) : 0L;
    }

    private static int intCount(JsonNode node, String field) {
        return (int) Math.min(Integer.MAX_VALUE, count(node, field));
    }
}
