package io.waxwingquay.settings;

import io.waxwingquay.routing.RoutingPolicy;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The settings of an entry process. {@code docs/settings/entry.toml} documents every key.
 *
 * @param process the settings that all processes share.
 * @param callerPort the TCP port for callers; 0 lets the operating system choose.
 * @param defaultDeadlineMillis the deadline of a request that specifies none.
 * @param maxDeadlineMillis the longest deadline that a caller may specify.
 * @param maxBodyBytes the largest request body that is accepted.
 * @param retryBudgetPercent the retries allowed, in percent of first attempts.
 * @param routingPolicy the name of the routing policy.
 */
public record EntrySettings(
        ProcessSettings process,
        int callerPort,
        long defaultDeadlineMillis,
        long maxDeadlineMillis,
        long maxBodyBytes,
        int retryBudgetPercent,
        String routingPolicy) {

    private static final Range DEADLINE_MILLIS = new Range(1, 86_400_000, "milliseconds");
    private static final Range BODY_BYTES = new Range(1_024, 67_108_864, "bytes");
    private static final Range PERCENT = new Range(0, 100, "percent");

    /**
     * Reads the settings from a file.
     *
     * @param file the file.
     * @return the settings.
     * @throws IOException if the file can't be read.
     * @throws SettingsException if any key is unknown, missing, of the wrong type or out of range.
     */
    public static EntrySettings read(Path file) throws IOException {
        return parse(file.toString(), Files.readAllBytes(file));
    }

    /**
     * Parses the settings from a document.
     *
     * @param source the document's name, used in messages.
     * @param bytes the TOML document.
     * @return the settings.
     * @throws SettingsException if any key is unknown, missing, of the wrong type or out of range.
     */
    public static EntrySettings parse(String source, byte[] bytes) {
        return TomlDocument.read(source, bytes, EntrySettings::from);
    }

    static EntrySettings from(TomlTable table) {
        EntrySettings settings = new EntrySettings(
                ProcessSettings.from(table),
                (int) table.number("caller_port", Range.PORT),
                table.number("default_deadline_millis", 30_000, DEADLINE_MILLIS),
                table.number("max_deadline_millis", 600_000, DEADLINE_MILLIS),
                table.number("max_body_bytes", 1_048_576, BODY_BYTES),
                (int) table.number("retry_budget_percent", 10, PERCENT),
                table.text("routing_policy", "waxwingquay"));
        settings.checkPolicy(table);
        if (settings.defaultDeadlineMillis > settings.maxDeadlineMillis) {
            table.report("default_deadline_millis", "is above max_deadline_millis; lower it or raise that");
        }
        return settings;
    }

    private void checkPolicy(TomlTable table) {
        try {
            RoutingPolicy.named(routingPolicy);
        } catch (IllegalArgumentException unknown) {
            table.report("routing_policy", "is '" + routingPolicy + "'; write one of " + RoutingPolicy.NAMES);
        }
    }
}
