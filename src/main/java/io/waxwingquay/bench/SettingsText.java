package io.waxwingquay.bench;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.common.HostPort;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Generates the settings files of a whole deployment on loopback, as an operator writes them by hand.
 *
 * @param platformAddress address of the platform.
 * @param publicKey the operator's root key, in base64.
 * @param dataCentreCount number of data centres that the processes are spread over.
 * @param permitLeaseMillis lease of the permits of shared limits; a restarted side grants none for that long.
 * @param orderQuarantineMillis how long the side of an unfenced engine sends no orders after its start.
 * @param seeds addresses of processes to gossip with at first.
 */
public record SettingsText(
        HostPort platformAddress,
        String publicKey,
        int dataCentreCount,
        long permitLeaseMillis,
        long orderQuarantineMillis,
        List<HostPort> seeds) {

    private static final String COMMON_TEMPLATE =
            """
            name = "%s"
            data_centre = "dc-%d"
            region = "local"
            host = "127.0.0.1"
            thrift_port = %d
            admin_port = %d
            platform_url = "http://%s"
            trusted_keys = ["%s"]
            seeds = [%s]
            log_level = "warn"
            """;
    private static final String ENTRY_TEMPLATE =
            """
            caller_port = %d
            routing_policy = "%s"
            """;
    private static final String SIDE_TEMPLATE =
            """
            service = "%s"
            replica = %d
            target_url = "http://%s"
            target_kind = "%s"
            permit_lease_millis = %d
            order_quarantine_millis = %d
            """;

    /**
     * Creates settings without seeds.
     *
     * @param platformAddress address of the platform.
     * @param publicKey the operator's root key, in base64.
     * @param dataCentreCount number of data centres that the processes are spread over.
     * @param permitLeaseMillis lease of the permits of shared limits.
     * @param orderQuarantineMillis how long the side of an unfenced engine sends no orders after its start.
     */
    public SettingsText(
            HostPort platformAddress,
            String publicKey,
            int dataCentreCount,
            long permitLeaseMillis,
            long orderQuarantineMillis) {
        this(platformAddress, publicKey, dataCentreCount, permitLeaseMillis, orderQuarantineMillis, List.of());
    }

    /**
     * Returns the same settings with other seeds.
     *
     * @param addresses addresses of processes to gossip with at first.
     * @return the new settings.
     */
    public SettingsText withSeeds(List<HostPort> addresses) {
        return new SettingsText(
                platformAddress, publicKey, dataCentreCount, permitLeaseMillis, orderQuarantineMillis, addresses);
    }

    /**
     * Returns the name of a side.
     *
     * @param service its service.
     * @param replica its number.
     * @return the name.
     */
    public static String sideName(String service, int replica) {
        return service + "-" + replica;
    }

    /**
     * Returns the data centre of a replica or entry.
     *
     * @param number its number.
     * @return the data centre's name.
     */
    public String dataCentre(int number) {
        return "dc-" + dataCentreNumber(number);
    }

    /**
     * Returns the settings of an entry.
     *
     * @param number its number.
     * @param policy name of the routing policy.
     * @param ports Thrift, admin and caller port; 0 for any free port.
     * @return the TOML text.
     */
    public String entry(int number, String policy, List<Integer> ports) {
        return commonSettings("entry-" + number, number, ports) + ENTRY_TEMPLATE.formatted(ports.get(2), policy);
    }

    /**
     * Returns the settings of a side.
     *
     * @param service its service.
     * @param replica its number.
     * @param target address of the target.
     * @param ports Thrift and admin port; 0 for any free port.
     * @return the TOML text.
     */
    public String side(Bundle.Service service, int replica, HostPort target, List<Integer> ports) {
        String kind = service.kind().name().toLowerCase(Locale.ROOT);
        return commonSettings(sideName(service.name(), replica), replica, ports)
                + SIDE_TEMPLATE.formatted(
                        service.name(), replica, target, kind, permitLeaseMillis, orderQuarantineMillis);
    }

    private String commonSettings(String name, int number, List<Integer> ports) {
        return COMMON_TEMPLATE.formatted(
                name,
                dataCentreNumber(number),
                ports.get(0),
                ports.get(1),
                platformAddress,
                publicKey,
                quotedList(seeds));
    }

    private static String quotedList(List<HostPort> addresses) {
        return addresses.stream().map(address -> '"' + address.toString() + '"').collect(Collectors.joining(", "));
    }

    private int dataCentreNumber(int number) {
        return number % dataCentreCount + 1;
    }
}
