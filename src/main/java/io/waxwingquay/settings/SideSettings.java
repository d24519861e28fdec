package io.waxwingquay.settings;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The settings of a side process. {@code docs/settings/side.toml} documents every key.
 *
 * @param process the settings that all processes share.
 * @param service the service that its target belongs to, as the bundle names it.
 * @param replica the target's number within the service, from 0.
 * @param targetUrl the URL of the target.
 * @param targetKind the kind of the target.
 * @param orderQuarantineMillis how long no order is sent after a start beside an engine that does not fence orders;
 *     longer than the longest delay of an order.
 * @param permitLeaseMillis how long a permit of a shared limit is lent; a restarted side lends none for that time.
 * @param queueLimit how many requests may wait for the target.
 * @param drainLimitMillis how long a shutdown waits for work in progress.
 * @param attemptRetentionMillis how long finished attempts are kept.
 * @param pollWaitMillis how long a poll of an attempt is held open at most.
 * @param streamSilenceMillis how long the target's stream may be silent before it is opened again.
 */
public record SideSettings(
        ProcessSettings process,
        String service,
        int replica,
        URI targetUrl,
        TargetType targetKind,
        long orderQuarantineMillis,
        long permitLeaseMillis,
        int queueLimit,
        long drainLimitMillis,
        long attemptRetentionMillis,
        long pollWaitMillis,
        long streamSilenceMillis) {

    private static final Range REPLICA = new Range(0, 99_999, "replica number");
    private static final Range QUEUE_LIMIT = new Range(0, 100_000, "requests");
    private static final Range ORDER_QUARANTINE_MILLIS = new Range(0, 600_000, "milliseconds");
    private static final Range PERMIT_LEASE_MILLIS = new Range(500, 600_000, "milliseconds");
    private static final Range DRAIN_LIMIT_MILLIS = new Range(0, 3_600_000, "milliseconds");
    private static final Range ATTEMPT_RETENTION_MILLIS = new Range(60_000, 86_400_000, "milliseconds");
    private static final Range POLL_WAIT_MILLIS = new Range(10, 10_000, "milliseconds");
    private static final Range STREAM_SILENCE_MILLIS = new Range(100, 60_000, "milliseconds");

    /**
     * Reads the settings from a file.
     *
     * @param file the file.
     * @return the settings.
     * @throws IOException if the file can't be read.
     * @throws SettingsException if any key is unknown, missing, of the wrong type or out of range.
     */
    public static SideSettings read(Path file) throws IOException {
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
    public static SideSettings parse(String source, byte[] bytes) {
        return TomlDocument.read(source, bytes, SideSettings::from);
    }

    static SideSettings from(TomlTable table) {
        return new SideSettings(
                ProcessSettings.from(table),
                table.text("service"),
                (int) table.number("replica", REPLICA),
                ProcessSettings.url(table, "target_url"),
                table.requiredChoice("target_kind", TargetType.MODEL),
                table.number("order_quarantine_millis", 30_000, ORDER_QUARANTINE_MILLIS),
                table.number("permit_lease_millis", 10_000, PERMIT_LEASE_MILLIS),
                (int) table.number("queue_limit", 256, QUEUE_LIMIT),
                table.number("drain_limit_millis", 120_000, DRAIN_LIMIT_MILLIS),
                table.number("attempt_retention_millis", 900_000, ATTEMPT_RETENTION_MILLIS),
                table.number("poll_wait_millis", 250, POLL_WAIT_MILLIS),
                table.number("stream_silence_millis", 1_000, STREAM_SILENCE_MILLIS));
    }

    /** The kind of a target. */
    public enum TargetType {
        /** A model engine. */
        MODEL,
        /** A plain service. */
        PLAIN
    }
}
