package io.waxwingquay.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.manifest.Route;
import io.waxwingquay.net.ServerLimits;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads the operator's configuration. */
final class ManifestReader {

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private ManifestReader() {}

    static Optional<Manifest> read(JsonNode node) {
        if (!node.isObject() || !node.path("version").isNumber()) {
            return Optional.empty();
        }
        List<Route> routes = Wire.list(node, "routes").stream()
                .map(ManifestReader::route)
                .flatMap(Optional::stream)
                .toList();
        Map<String, Manifest.Service> services = new HashMap<>();
        Wire.list(node, "services")
                .forEach(each -> service(each).ifPresent(service -> services.put(service.name(), service)));
        return Optional.of(new Manifest(
                node.get("version").longValue(), routes, Map.copyOf(services), limits(node.path("limits"))));
    }

    private static Optional<Route> route(JsonNode node) {
        Optional<String> host = Wire.text(node, "host");
        Optional<String> prefix = Wire.text(node, "prefix");
        List<Route.Share> shares = shares(node);
        if (host.isEmpty() || prefix.isEmpty() || shares.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Route(
                Wire.text(node, "name").orElse(prefix.get()),
                host.get(),
                prefix.get(),
                kind(Wire.text(node, "kind").orElse("")),
                Wire.whole(node, "timeout_ms", 30_000L),
                Wire.whole(node, "target_latency_ms", 1_000L),
                Wire.whole(node, "gap_aim_ms", 0L),
                (int) Wire.whole(node, "priority", 0L),
                shares,
                (int) Wire.whole(node, "max_attempts", 1L),
                node.path("resumable").asBoolean(false)));
    }

    /** A kind that is not known here is treated with the most care: it runs at most once. */
    private static Route.Kind kind(String word) {
        return switch (word) {
            case "safe" -> Route.Kind.SAFE;
            case "streaming" -> Route.Kind.STREAM;
            default -> Route.Kind.UNSAFE;
        };
    }

    private static List<Route.Share> shares(JsonNode node) {
        List<Route.Share> split = Wire.list(node, "traffic_split").stream()
                .filter(part -> Wire.text(part, "service").isPresent())
                .map(part -> new Route.Share(part.get("service").textValue(), Wire.decimal(part, "weight", 0.0)))
                .filter(share -> share.weight() > 0)
                .toList();
        if (!split.isEmpty()) {
            return split;
        }
        return Wire.text(node, "service")
                .map(service -> List.of(new Route.Share(service, 1.0)))
                .orElse(List.of());
    }

    private static Optional<Manifest.Service> service(JsonNode node) {
        Optional<Engine> engine = Optional.ofNullable(node.get("engine"))
                .filter(JsonNode::isObject)
                .map(ManifestReader::engine);
        return Wire.text(node, "name")
                .map(name -> new Manifest.Service(name, (int) Wire.whole(node, "max_conns", 100L), engine));
    }

    private static Engine engine(JsonNode node) {
        List<Engine.Model> models = Wire.list(node, "models").stream()
                .map(ManifestReader::model)
                .flatMap(Optional::stream)
                .toList();
        return new Engine(
                (int) Wire.whole(node, "slots", 1L),
                Wire.whole(node, "kv_tokens", 0L),
                Wire.decimal(node, "weights_mb", 0.0),
                (int) Wire.whole(node, "adapter_slots", 0L),
                Wire.decimal(node, "loads_per_s", 0.0),
                models);
    }

    private static Optional<Engine.Model> model(JsonNode node) {
        double loadSeconds = Wire.decimal(node, "load_s", 0.0);
        double diskSeconds = Wire.decimal(node, "disk_s", loadSeconds);
        return Wire.text(node, "name")
                .map(name -> new Engine.Model(
                        name,
                        Wire.decimal(node, "weights_mb", 0.0),
                        Math.round(loadSeconds * MILLIS_PER_SECOND),
                        Math.round(diskSeconds * MILLIS_PER_SECOND),
                        Math.round(Wire.decimal(node, "warm_s", diskSeconds) * MILLIS_PER_SECOND),
                        Wire.decimal(node, "adapter_mb", 0.0)));
    }

    private static ServerLimits limits(JsonNode node) {
        return new ServerLimits(
                (int) Wire.whole(node, "max_header_bytes", ServerLimits.DEFAULT.maxHeaderBytes()),
                (int) Wire.whole(node, "max_body_bytes", ServerLimits.DEFAULT.maxBodyBytes()),
                Wire.whole(node, "header_timeout_ms", ServerLimits.DEFAULT.headerTimeoutMillis()),
                Wire.whole(node, "idle_timeout_ms", ServerLimits.DEFAULT.idleTimeoutMillis()));
    }
}
