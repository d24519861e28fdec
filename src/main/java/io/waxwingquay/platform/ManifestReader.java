package io.waxwingquay.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.manifest.Route;
import io.waxwingquay.net.ServerLimits;
import java.io.IOException;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Decodes the operator's configuration from the platform's manifest. */
final class ManifestReader {

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private ManifestReader() {}

    static Optional<Manifest> read(JsonNode node) {
        if (!node.isObject() || !node.path("version").isNumber()) {
            return Optional.empty();
        }
        List<Route> routes = JsonFields.list(node, "routes").stream()
                .map(ManifestReader::route)
                .flatMap(Optional::stream)
                .toList();
        Map<String, Manifest.Service> services = new HashMap<>();
        JsonFields.list(node, "services").forEach(serviceNode -> service(serviceNode)
                .ifPresent(service -> services.put(service.name(), service)));
        return Optional.of(new Manifest(
                node.get("version").longValue(),
                routes,
                Map.copyOf(services),
                limits(node.path("limits")),
                AccountReader.read(node)));
    }

    /** Returns the version that the manifest in a row of the store states; 0 if the row holds no readable manifest. */
    static long versionInRow(JsonNode row) {
        try {
            byte[] manifest =
                    Base64.getDecoder().decode(JsonFields.text(row, "value").orElse(""));
            return JsonFields.longOr(JsonFields.read(manifest), "version", 0L);
        } catch (IOException | IllegalArgumentException failure) {
            // StoreTable logs a row that can't be decoded; any readable manifest is newer.
            return 0L;
        }
    }

    private static Optional<Route> route(JsonNode node) {
        Optional<String> host = JsonFields.text(node, "host");
        Optional<String> prefix = JsonFields.text(node, "prefix");
        List<Route.Share> shares = shares(node);
        if (host.isEmpty() || prefix.isEmpty() || shares.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Route(
                JsonFields.text(node, "name").orElse(prefix.get()),
                host.get(),
                prefix.get(),
                kind(JsonFields.text(node, "kind").orElse("")),
                JsonFields.longOr(node, "timeout_ms", 30_000L),
                JsonFields.longOr(node, "target_latency_ms", 1_000L),
                JsonFields.longOr(node, "gap_aim_ms", 0L),
                (int) JsonFields.longOr(node, "priority", 0L),
                shares,
                (int) JsonFields.longOr(node, "max_attempts", 1L),
                node.path("resumable").asBoolean(false),
                node.path("public").asBoolean(false)));
    }

    /** Maps the kind of a route; an unknown kind is handled as the strictest one, which runs at most once. */
    private static Route.Kind kind(String text) {
        return switch (text) {
            case "safe" -> Route.Kind.SAFE;
            case "streaming" -> Route.Kind.STREAM;
            default -> Route.Kind.UNSAFE;
        };
    }

    private static List<Route.Share> shares(JsonNode node) {
        List<Route.Share> split = JsonFields.list(node, "traffic_split").stream()
                .filter(part -> JsonFields.text(part, "service").isPresent())
                .map(part -> new Route.Share(part.get("service").textValue(), JsonFields.doubleOr(part, "weight", 0.0)))
                .filter(share -> share.weight() > 0)
                .toList();
        if (!split.isEmpty()) {
            return split;
        }
        return JsonFields.text(node, "service")
                .map(service -> List.of(new Route.Share(service, 1.0)))
                .orElse(List.of());
    }

    private static Optional<Manifest.Service> service(JsonNode node) {
        Optional<Engine> engine = Optional.ofNullable(node.get("engine"))
                .filter(JsonNode::isObject)
                .map(ManifestReader::engine);
        return JsonFields.text(node, "name")
                .map(name -> new Manifest.Service(
                        name,
                        (int) JsonFields.longOr(node, "max_conns", 100L),
                        JsonFields.text(node, "health_path"),
                        engine));
    }

    private static Engine engine(JsonNode node) {
        List<Engine.Model> models = JsonFields.list(node, "models").stream()
                .map(ManifestReader::model)
                .flatMap(Optional::stream)
                .toList();
        return new Engine(
                (int) JsonFields.longOr(node, "slots", 1L),
                JsonFields.longOr(node, "kv_tokens", 0L),
                JsonFields.doubleOr(node, "weights_mb", 0.0),
                (int) JsonFields.longOr(node, "adapter_slots", 0L),
                JsonFields.doubleOr(node, "loads_per_s", 0.0),
                models);
    }

    private static Optional<Engine.Model> model(JsonNode node) {
        double loadSeconds = JsonFields.doubleOr(node, "load_s", 0.0);
        double diskSeconds = JsonFields.doubleOr(node, "disk_s", loadSeconds);
        return JsonFields.text(node, "name")
                .map(name -> new Engine.Model(
                        name,
                        JsonFields.doubleOr(node, "weights_mb", 0.0),
                        Math.round(loadSeconds * MILLIS_PER_SECOND),
                        Math.round(diskSeconds * MILLIS_PER_SECOND),
                        Math.round(JsonFields.doubleOr(node, "warm_s", diskSeconds) * MILLIS_PER_SECOND),
                        JsonFields.doubleOr(node, "adapter_mb", 0.0)));
    }

    private static ServerLimits limits(JsonNode node) {
        return new ServerLimits(
                (int) JsonFields.longOr(node, "max_header_bytes", ServerLimits.DEFAULT.maxHeaderBytes()),
                (int) JsonFields.longOr(node, "max_body_bytes", ServerLimits.DEFAULT.maxBodyBytes()),
                JsonFields.longOr(node, "header_timeout_ms", ServerLimits.DEFAULT.headerTimeoutMillis()),
                JsonFields.longOr(node, "idle_timeout_ms", ServerLimits.DEFAULT.idleTimeoutMillis()));
    }
}
