package io.waxwingquay.settings;

import io.waxwingquay.common.HostPort;
import java.net.URI;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The settings that all long-running processes share. They are a process's only source for its addresses and data
 * centre.
 *
 * @param name the process's name, which is unique in the deployment.
 * @param dataCentre the data centre it runs in.
 * @param region the region it runs in.
 * @param host the IP address that it listens on and publishes.
 * @param thriftPort the TCP port for other processes; 0 lets the operating system choose.
 * @param adminPort the TCP port for operators; 0 lets the operating system choose.
 * @param platformUrl the URL of the platform's services.
 * @param trustedKeys the operators' root keys, as base64 of the X.509 encoding.
 * @param seeds the addresses of the peers with which gossip starts.
 * @param logFormat the format of log lines.
 * @param logLevel the lowest level that is logged.
 * @param gossipIntervalMillis the time between two rounds of gossip.
 * @param bundlePollMillis the time between two reads of the bundle row.
 * @param tableTimeoutMillis how long a call to the platform may take.
 */
public record ProcessSettings(
        String name,
        String dataCentre,
        String region,
        String host,
        int thriftPort,
        int adminPort,
        URI platformUrl,
        List<String> trustedKeys,
        List<HostPort> seeds,
        LogFormat logFormat,
        LogLevel logLevel,
        long gossipIntervalMillis,
        long bundlePollMillis,
        long tableTimeoutMillis) {

    private static final Pattern IP_ADDRESS = Pattern.compile(
            "(25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]*");
    private static final Range GOSSIP_INTERVAL_MILLIS = new Range(50, 60_000, "milliseconds");
    private static final Range BUNDLE_POLL_MILLIS = new Range(100, 600_000, "milliseconds");
    private static final Range TABLE_TIMEOUT_MILLIS = new Range(50, 60_000, "milliseconds");

    static ProcessSettings from(TomlTable table) {
        return new ProcessSettings(
                table.text("name"),
                table.text("data_centre"),
                table.text("region"),
                host(table),
                (int) table.number("thrift_port", Range.PORT),
                (int) table.number("admin_port", Range.PORT),
                url(table, "platform_url"),
                trustedKeys(table),
                seeds(table),
                table.choice("log_format", LogFormat.TEXT),
                table.choice("log_level", LogLevel.INFO),
                table.number("gossip_interval_millis", 250, GOSSIP_INTERVAL_MILLIS),
                table.number("bundle_poll_millis", 1_000, BUNDLE_POLL_MILLIS),
                table.number("table_timeout_millis", 1_000, TABLE_TIMEOUT_MILLIS));
    }

    static URI url(TomlTable table, String key) {
        String text = table.text(key);
        try {
            URI url = URI.create(text);
            if (text.isEmpty() || "http".equals(url.getScheme()) && url.getHost() != null) {
                return url;
            }
        } catch (IllegalArgumentException ignored) {
            // Reported below, as is a URL of another scheme or without a host.
        }
        table.report(key, "is '" + text + "'; write http://IP:port");
        return URI.create("");
    }

    private static String host(TomlTable table) {
        String host = table.text("host");
        if (!host.isEmpty() && !IP_ADDRESS.matcher(host).matches()) {
            table.report("host", "is '" + host + "'; write an IP number, for example 10.0.0.7");
        }
        return host;
    }

    private static List<String> trustedKeys(TomlTable table) {
        List<String> keys = table.texts("trusted_keys");
        if (keys.isEmpty()) {
            table.report("trusted_keys", "names no key; write the public key that 'bundle keygen' printed");
        }
        return keys;
    }

    private static List<HostPort> seeds(TomlTable table) {
        return table.texts("seeds").stream()
                .flatMap(text -> {
                    try {
                        return Stream.of(HostPort.of(text));
                    } catch (IllegalArgumentException failure) {
                        table.report("seeds", failure.getMessage());
                        return Stream.empty();
                    }
                })
                .toList();
    }

    /** The format of log lines. */
    public enum LogFormat {
        /** One line of plain text for each event. */
        TEXT,
        /** One JSON object for each event. */
        JSON
    }

    /** The lowest level that is logged. */
    public enum LogLevel {
        /** All events, for tracing the cause of a failure. */
        DEBUG,
        /** Events that an operator may want to know later. */
        INFO,
        /** Events that an operator should examine. */
        WARN,
        /** Events that an operator must act on. */
        ERROR
    }
}
