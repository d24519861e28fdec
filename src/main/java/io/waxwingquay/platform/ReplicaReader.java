package io.waxwingquay.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.fleet.ReplicaRecord;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Reads what replicas say of themselves, in the store and when they are asked. */
final class ReplicaReader {

    private ReplicaReader() {}

    /** Empty for an entry of another writer: a state that is not known, or a field missing or of another type. */
    static Optional<ReplicaRecord> row(String id, JsonNode node) {
        Optional<String> state = Wire.text(node, "state");
        Optional<String> service = Wire.text(node, "service");
        Optional<HostPort> address = Wire.text(node, "address").flatMap(ReplicaReader::address);
        boolean known = state.filter(word -> word.equals("ready") || word.equals("draining"))
                .isPresent();
        if (id.isEmpty() || !known || service.isEmpty() || address.isEmpty() || !isWhole(node, "slots")) {
            return Optional.empty();
        }
        JsonNode remaining = node.get("remaining_ms");
        return Optional.of(new ReplicaRecord(
                id,
                Wire.whole(node, "born", 0L),
                service.get(),
                address.get(),
                Wire.text(node, "zone").orElse(""),
                (int) Wire.whole(node, "slots", 1L),
                state.get().equals("draining"),
                remaining != null && remaining.isNumber()
                        ? OptionalLong.of(remaining.longValue())
                        : OptionalLong.empty(),
                models(node)));
    }

    /** The answer to a question for its load. */
    static EngineReport report(JsonNode node) {
        JsonNode atHand = node.path("at_hand");
        return new EngineReport(
                Wire.whole(node, "born", 0L),
                Wire.whole(node, "seq", 0L),
                node.path("busy").asBoolean(false),
                (int) Wire.whole(node, "running", 0L),
                (int) Wire.whole(node, "waiting", 0L),
                Wire.whole(node, "kv_used", 0L),
                Wire.whole(node, "kv_total", 0L),
                models(node),
                Set.copyOf(new HashSet<>(comings(node))),
                Set.copyOf(new HashSet<>(Wire.texts(atHand, "in_memory"))),
                Set.copyOf(new HashSet<>(Wire.texts(atHand, "on_disk"))),
                Wire.text(node, "state").filter("draining"::equals).isPresent());
    }

    /** Adapters under way, written MODEL/NAME@VERSION; here without the version, which a request can't ask for. */
    private static List<String> comings(JsonNode node) {
        return Wire.texts(node, "coming").stream()
                .map(name -> name.indexOf('@') < 0 ? name : name.substring(0, name.indexOf('@')))
                .toList();
    }

    private static List<ReplicaRecord.ResidentModel> models(JsonNode node) {
        return Wire.list(node, "models").stream()
                .filter(model -> Wire.text(model, "name").isPresent())
                .map(model -> new ReplicaRecord.ResidentModel(
                        model.get("name").textValue(), adapterNames(Wire.list(model, "adapters"))))
                .toList();
    }

    private static List<String> adapterNames(List<JsonNode> adapters) {
        return adapters.stream()
                .map(each -> each.isTextual()
                        ? each.textValue()
                        : Wire.text(each, "name").orElse(""))
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

    private static boolean isWhole(JsonNode node, String field) {
        return node.path(field).isIntegralNumber();
    }
}
