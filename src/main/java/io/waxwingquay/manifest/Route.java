package io.waxwingquay.manifest;

import java.util.List;

/**
 * Where requests of one host and path prefix go, and how they may be treated.
 *
 * @param name its name, for logs.
 * @param host the host that callers name.
 * @param prefix the path prefix, which begins and ends with a slash.
 * @param kind what may be done again.
 * @param timeoutMillis the longest that a caller is kept waiting.
 * @param objectiveMillis the time to an answer, or to a stream's first event, that is aimed at.
 * @param pauseObjectiveMillis the longest pause between a stream's events that is aimed at; 0 if none is.
 * @param priority its rank; 0 goes first.
 * @param shares the services with their weights.
 * @param maxAttempts the most replicas that one request is sent to.
 * @param resumable whether a broken stream may go on at another replica.
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
        boolean resumable) {

    /** What may be done again. */
    public enum Kind {
        /** A repeated run does no harm. */
        SAFE,
        /** It runs at most once. */
        UNSAFE,
        /** A stream of events; it may be run again only if it is resumable. */
        STREAM
    }

    /**
     * Whether a second run does no harm.
     *
     * @return whether a request whose fate is unknown may be sent again.
     */
    public boolean isSafeToRetry() {
        return kind == Kind.SAFE || kind == Kind.STREAM && resumable;
    }

    /**
     * The service for one request.
     *
     * @param uniform a number from 0 up to 1, the same for the same request.
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
     * A service's part of a route.
     *
     * @param service the service's name.
     * @param weight its weight among the route's services.
     */
    public record Share(String service, double weight) {}
}
