package io.waxwingquay.manifest;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** Finds the route of a request: of the routes for its host, the one with the longest matching prefix. */
public final class RouteTable {

    private final Map<String, List<Route>> routesByHost;

    private RouteTable(Map<String, List<Route>> routesByHost) {
        this.routesByHost = routesByHost;
    }

    /**
     * Creates a table of routes.
     *
     * @param routes the routes.
     * @return the table.
     */
    public static RouteTable of(List<Route> routes) {
        Map<String, List<Route>> routesByHost = routes.stream()
                .collect(Collectors.groupingBy(
                        route -> route.host().toLowerCase(Locale.ROOT), HashMap::new, Collectors.toList()));
        Comparator<Route> longestFirst =
                Comparator.comparingInt(route -> -route.prefix().length());
        routesByHost.values().forEach(list -> list.sort(longestFirst));
        return new RouteTable(routesByHost);
    }

    /**
     * Finds the route for a request.
     *
     * @param host the value of the request's Host field, with or without a port.
     * @param path the request path.
     * @return the route, empty if none matches.
     */
    public Optional<Route> find(String host, String path) {
        int port = host.indexOf(':');
        String name = (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
        return routesByHost.getOrDefault(name, List.of()).stream()
                .filter(route -> path.startsWith(route.prefix()))
                .findFirst();
    }
}
