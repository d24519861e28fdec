package io.waxwingquay.settings;

import io.waxwingquay.common.HostPort;
import java.net.URI;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What every long-running process is told. A process learns its addresses and data centre only from here.
 *
 * @param name the process's name, unique in the deployment.
 * @param dataCentre the data centre it runs in.
 * @param region the region it runs in.
 * @param host the IP number it listens on and publishes.
 * @param thriftPort the TCP port for other processes; 0 lets the system choose.
 * @param adminPort the TCP port for operators; 0 lets the system choose.
 * @param platformUrl where the platform's services answer.
 * @param trustedKeys root operator keys, as base64 of the X.509 encoding.
 * @param seeds addresses of a few peers to gossip with at first.
 * @param logFormat how log lines look.
 * @param logLevel the lowest level that is written.
 * @param gossipIntervalMillis the time between gossip rounds.
 * @param bundlePollMillis the time between looks at the bundle row.
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
            // Told below, together with a URL of another kind.
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

    /** How log lines look. */
    public enum LogFormat {
        /** One readable line for each event. */
        TEXT,
        /** One JSON object for each event. */
        JSON
    }

    /** The lowest level that is written. */
    public enum LogLevel {
        /** Everything, for a search after a cause. */
        DEBUG,
        /** What an operator may want to know later. */
        INFO,
        /** What an operator should look at. */
        WARN,
        /** What an operator must act on. */
        ERROR
    }
}
