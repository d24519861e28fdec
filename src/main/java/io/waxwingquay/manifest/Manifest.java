package io.waxwingquay.manifest;

import io.waxwingquay.net.ServerLimits;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration.
 *
 * @param version higher versions replace lower ones.
 * @param routes all routes.
 * @param services the services by name.
 * @param limits what callers may send.
 */
public record Manifest(long version, List<Route> routes, Map<String, Service> services, ServerLimits limits) {

    /**
     * The engine that a service's replicas run.
     *
     * @param service the service's name.
     * @return the engine, empty for a plain service or one that is not named here.
     */
    public Optional<Engine> engine(String service) {
        return Optional.ofNullable(services.get(service)).flatMap(Service::engine);
    }

    /**
     * A service.
     *
     * @param name its name.
     * @param maxConnections the most connections that one replica takes from all callers together.
     * @param engine what its replicas run, empty if they are plain services.
     */
    public record Service(String name, int maxConnections, Optional<Engine> engine) {}
}
