package io.waxwingquay.manifest;

import java.util.List;

/**
 * Maps requests for one host and path prefix to services and defines how those requests are handled.
 *
 * @param name the route's name, used in logs.
 * @param host the host name that callers request.
 * @param prefix the path prefix, which begins and ends with a slash.
 * @param kind defines which requests may be retried.
 * @param timeoutMillis the longest time that a caller is kept waiting.
 * @param objectiveMillis the objective for the time to the answer, or to the first event of a stream.
 * @param pauseObjectiveMillis the objective for the longest pause between events of a stream; 0 if there is none.
 * @param priority the priority class; 0 is the highest.
 * @param shares the services with their weights.
 * @param maxAttempts the maximum number of replicas that one request is sent to.
 * @param resumable whether a broken stream may be resumed at another replica.
 * @param open whether requests need no key of a client account, and count for none.
 */
public record Route(
        String name,
        String host,
        String prefix,
        Kind kind,
        long timeoutMillis,
        long objectiveMillis,
        long pauseObjectiveMillis,
        int priority,
        List<Share> shares,
        int maxAttempts,
        boolean resumable,
        boolean open) {

    /** Defines which requests of a route may be retried. */
    public enum Kind {
        /** Repeated execution is harmless. */
        SAFE,
        /** The request is executed at most once. */
        UNSAFE,
        /** The answer is a stream of events; the request may be executed again only if the route is resumable. */
        STREAM
    }

    /**
     * Returns whether repeated execution is harmless.
     *
     * @return whether a request whose outcome is unknown may be retried.
     */
    public boolean isSafeToRetry() {
        return kind == Kind.SAFE || kind == Kind.STREAM && resumable;
    }

    /**
     * Chooses the service for one request, weighted by share.
     *
     * @param uniform a number from 0 (inclusive) to 1 (exclusive), the same for every attempt of one request.
     * @return the service's name.
     */
    public String chooseService(double uniform) {
        double total = shares.stream().mapToDouble(Share::weight).sum();
        double left = uniform * total;
        for (Share share : shares) {
            left -= share.weight;
            if (left < 0) {
                return share.service;
            }
        }
        return shares.get(shares.size() - 1).service;
    }

    /**
     * Returns the services that the route's requests may reach.
     *
     * @return their names.
     */
    public List<String> services() {
        return shares.stream().map(Share::service).distinct().toList();
    }

    /**
     * Returns the same route where one of its services receives all requests.
     *
     * @param service the service's name.
     * @return the route.
     */
    public Route servedBy(String service) {
        return new Route(
                name,
                host,
                prefix,
                kind,
                timeoutMillis,
                objectiveMillis,
                pauseObjectiveMillis,
                priority,
                List.of(new Share(service, 1)),
                maxAttempts,
                resumable,
                open);
    }

    /**
     * The share of a route's requests that a service receives.
     *
     * @param service the service's name.
     * @param weight its weight relative to the route's other services.
     */
    public record Share(String service, double weight) {}
}
