package io.waxwingquay.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.waxwingquay.account.QuotaTolerance;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.hosted.HostSettings;
import io.waxwingquay.settings.Problem;
import io.waxwingquay.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Reads the settings file that the platform writes. Unknown fields are ignored for forward compatibility; missing
 * required fields are reported by name, all of them together.
 */
public final class SettingsFile {

    /** The environment variable in which the platform passes the path of the file. */
    public static final String VARIABLE = "WAXWINGQUAY_CONFIG";

    private static final long MILLIS_PER_SECOND = 1_000L;
    private static final double BYTES_PER_MEGABIT = 125_000.0;

    /** A link so wide that updates are never spaced, where the platform states none. */
    private static final double DEFAULT_LINK_MEGABITS = 1_000.0;

    private final JsonNode root;
    private final List<Problem> problems = new ArrayList<>();

    private SettingsFile(JsonNode root) {
        this.root = root;
    }

    /**
     * Reads the file.
     *
     * @param file the file.
     * @return the settings.
     * @throws IOException if the file can't be read.
     * @throws SettingsException if a required field is missing or malformed.
     */
    public static HostSettings read(Path file) throws IOException {
        SettingsFile reader = new SettingsFile(new TomlMapper().readTree(Files.readAllBytes(file)));
        HostSettings settings = reader.toHostSettings();
        if (!reader.problems.isEmpty()) {
            throw new SettingsException(file.toString(), reader.problems);
        }
        return settings;
    }

    private HostSettings toHostSettings() {
        JsonNode ports = root.path("port_range");
        JsonNode listen = root.path("listen");
        if (!ports.path(0).isIntegralNumber() || !ports.path(1).isIntegralNumber()) {
            addProblem("port_range", "must hold two port numbers, such as [7380, 7395]");
        }
        Optional<HostPort> callers = address(listen, "listen.front", "front");
        Optional<HostPort> readiness = address(listen, "listen.ready", "ready");
        return new HostSettings(
                requiredText(root, "node"),
                requiredText(root, "zone"),
                requiredText(root, "ip"),
                ports.path(0).asInt(),
                ports.path(0).asInt() + 1,
                callers,
                readiness,
                address(root, "app", "app"),
                JsonFields.text(root, "service"),
                requiredAddress(address(root.path("platform"), "platform.address", "address"), "platform.address"),
                root.path("bootstrap").asBoolean(false),
                seeds(),
                bounds(root.path("bounds")));
    }

    /** Returns the hosts of the seeds, whose control addresses the platform lists; the ports are not used. */
    private List<String> seeds() {
        return JsonFields.texts(root, "seeds").stream()
                .filter(seed -> seed.indexOf(':') > 0)
                .map(seed -> seed.substring(0, seed.indexOf(':')))
                .toList();
    }

    private HostSettings.Bounds bounds(JsonNode node) {
        return new HostSettings.Bounds(
                (long) requiredNumber(node, "drain_ms"),
                (long) (requiredNumber(node, "grace_s") * MILLIS_PER_SECOND),
                requiredNumber(node, "retry_budget_ratio"),
                requiredNumber(node, "budget_slack"),
                (long) (JsonFields.doubleOr(node, "ceiling_window_s", 5.0) * MILLIS_PER_SECOND),
                JsonFields.doubleOr(node, "ceiling_over", 1.0),
                quotaTolerance(node),
                linkBytesPerSecond());
    }

    /** Reads the bandwidth of the VM's link, which the platform states in megabits per second. */
    private double linkBytesPerSecond() {
        return JsonFields.doubleOr(root.path("limits"), "link_mbps", DEFAULT_LINK_MEGABITS) * BYTES_PER_MEGABIT;
    }

    /** Reads the tolerance of quotas, which deployments without client accounts do not state. */
    private static QuotaTolerance quotaTolerance(JsonNode node) {
        return JsonFields.number(node, "quota_window_s")
                .map(seconds -> new QuotaTolerance(
                        Math.round(seconds * MILLIS_PER_SECOND),
                        JsonFields.doubleOr(node, "quota_over", 0.0),
                        JsonFields.doubleOr(node, "quota_slack", 0.0)))
                .orElse(QuotaTolerance.NONE);
    }

    private double requiredNumber(JsonNode node, String field) {
        Optional<Double> value = JsonFields.number(node, field);
        if (value.isEmpty()) {
            addProblem("bounds." + field, "is missing or not a number");
        }
        return value.orElse(0.0);
    }

    private String requiredText(JsonNode node, String field) {
        Optional<String> value = JsonFields.text(node, field);
        if (value.isEmpty()) {
            addProblem(field, "is missing; write it as text in quotes");
        }
        return value.orElse("");
    }

    private Optional<HostPort> address(JsonNode node, String element, String field) {
        try {
            return JsonFields.text(node, field).map(HostPort::of);
        } catch (IllegalArgumentException failure) {
            addProblem(element, failure.getMessage());
            return Optional.empty();
        }
    }

    private HostPort requiredAddress(Optional<HostPort> value, String element) {
        if (value.isEmpty()) {
            addProblem(element, "is missing; write it as \"10.0.0.7:8142\"");
        }
        return value.orElse(new HostPort("", 0));
    }

    private void addProblem(String element, String message) {
        problems.add(new Problem(element, OptionalInt.empty(), message));
    }
}
