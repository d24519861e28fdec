package io.waxwingquay.manifest;

import io.waxwingquay.account.Accounts;
import io.waxwingquay.net.ServerLimits;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration in force.
 *
 * @param version the version; a higher one replaces a lower one.
 * @param routes all routes.
 * @param services the services by name.
 * @param limits limits on the requests that callers may send.
 * @param accounts the client accounts that may send requests.
 */
public record Manifest(
        long version, List<Route> routes, Map<String, Service> services, ServerLimits limits, Accounts accounts) {

    /**
     * Creates a configuration without client accounts.
     *
     * @param version the version.
     * @param routes all routes.
     * @param services the services by name.
     * @param limits limits on the requests that callers may send.
     */
    public Manifest(long version, List<Route> routes, Map<String, Service> services, ServerLimits limits) {
        this(version, routes, services, limits, Accounts.none());
    }

    /**
     * Returns the engine that the replicas of a service run.
     *
     * @param service the service's name.
     * @return the engine, empty for a plain service or one that this configuration does not contain.
     */
    public Optional<Engine> engine(String service) {
        return Optional.ofNullable(services.get(service)).flatMap(Service::engine);
    }

    /**
     * Counts the priority classes of the streams of a service.
     *
     * @param service the service's name.
     * @return the number of different priorities among the routes of streams that the service may receive.
     */
    public long streamPriorityClasses(String service) {
        return routes.stream()
                .filter(route -> route.kind() == Route.Kind.STREAM)
                .filter(route -> route.shares().stream()
                        .anyMatch(share -> share.service().equals(service)))
                .mapToInt(Route::priority)
                .distinct()
                .count();
    }

    /**
     * A service.
     *
     * @param name the service's name.
     * @param maxConnections the maximum number of connections that one replica accepts from all callers together.
     * @param healthPath the path of the health check of its replicas, if they have one.
     * @param engine the engine that its replicas run, empty if they are plain services.
     */
    public record Service(String name, int maxConnections, Optional<String> healthPath, Optional<Engine> engine) {}
}
