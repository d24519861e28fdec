package io.waxwingquay.forward;

import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.manifest.Route;
import io.waxwingquay.manifest.RouteTable;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.ServerExchange;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import org.eclipse.jetty.http.HttpFields;

/**
 * Takes requests in: finds their routes, asks the gatekeeper, and answers at once those that don't go on. What does is
 * handed to a starter.
 */
final class RequestIntake {

    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /** Retry-after delay of a caller that only this process rejects; it soon reaches another entry. */
    private static final long OTHER_ENTRY_RETRY_AFTER_MILLIS = 200L;

    /** How many times its objective a call of a plain service may take. */
    private static final long MAX_PLAIN_OBJECTIVES = 4L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final MessageCodec codec;
    private final ForwardMetrics metrics;
    private final Gatekeeper gatekeeper;
    private final StreamContinuation continuation;
    private final LongUnaryOperator jitter;
    private final Starter starter;
    private final Set<PendingRequest> pending = new HashSet<>();
    private RouteTable routes = RouteTable.of(List.of());
    private OptionalLong version = OptionalLong.empty();
    private long exitAtMillis = Long.MAX_VALUE;
    private boolean admitting = true;

    RequestIntake(
            MessageCodec codec,
            ForwardMetrics metrics,
            Gatekeeper gatekeeper,
            StreamContinuation continuation,
            LongUnaryOperator jitter,
            Starter starter) {
        this.codec = codec;
        this.metrics = metrics;
        this.gatekeeper = gatekeeper;
        this.continuation = continuation;
        this.jitter = jitter;
        this.starter = starter;
    }

    void configure(Manifest manifest) {
        routes = RouteTable.of(manifest.routes());
        version = OptionalLong.of(manifest.version());
    }

    /** Rejects from now on what may not end before the process exits. */
    void drainWithin(long millis) {
        exitAtMillis = EventLoop.nowMillis() + millis;
    }

    /** Rejects everything from now on, and what still waits for the gatekeeper. */
    void endAdmission() {
        admitting = false;
        List.copyOf(pending).forEach(request -> {
            pending.remove(request);
            reject(request.caller, "this process exits");
        });
    }

    /** Returns the number of requests that wait for the gatekeeper, or for the origin of their streams. */
    int pendingCount() {
        return pending.size();
    }

    void handle(ServerExchange caller) {
        if (!admitting) {
            // The process exits without another check of the requests in progress, and would cut off any that is
            // accepted now.
            reject(caller, "this process exits");
            return;
        }
        if (version.isEmpty()) {
            reject(caller, "this entry has no configuration yet");
            return;
        }
        MessageCodec.RequestHead head = codec.readRequest(caller.request().fields());
        String host = Optional.ofNullable(caller.request().fields().get("Host")).orElse("");
        Optional<Route> route = routes.find(host, caller.request().path());
        Optional<String> fault = route.filter(found -> found.kind() == Route.Kind.STREAM)
                .flatMap(found -> codec.resumptionFault(caller.request().fields(), found.resumable()));
        if (route.isEmpty()) {
            notFound(caller, head);
        } else if (fault.isPresent()) {
            malformed(caller, head, fault.get());
        } else if (mayOutlastProcess(route.get())) {
            reject(caller, "this process is about to exit");
        } else {
            admit(new PendingRequest(caller, route.get(), head));
        }
    }

    private void notFound(ServerExchange caller, MessageCodec.RequestHead head) {
        metrics.unrouted();
        LOG.log(System.Logger.Level.INFO, "forward: no route id={0} version={1}", head.id(), version.getAsLong());
        caller.respond(NOT_FOUND, HttpFields.EMPTY, "no route matches this host and path");
    }

    /** Answers a request that would run from another event on than its caller expects. */
    private void malformed(ServerExchange caller, MessageCodec.RequestHead head, String fault) {
        LOG.log(System.Logger.Level.INFO, "forward: malformed id={0} why={1}", head.id(), fault);
        caller.respond(BAD_REQUEST, HttpFields.EMPTY, "it has not run: " + fault);
    }

    private void admit(PendingRequest request) {
        pending.add(request);
        request.caller.onDisconnect(() -> pending.remove(request));
        gatekeeper.admit(request.route, request.head, verdict -> conclude(request, verdict));
    }

    /** Handles the decision of the gatekeeper; a request whose caller has left is dropped by the next step. */
    private void conclude(PendingRequest request, Gatekeeper.Verdict verdict) {
        if (verdict instanceof Gatekeeper.Verdict.Admitted admitted) {
            continuation.check(
                    request.route, request.head, next -> startIfPossible(request, admitted.admission(), next));
            return;
        }
        pending.remove(request);
        if (verdict instanceof Gatekeeper.Verdict.OverQuota overQuota) {
            metrics.overQuota();
            HttpFields fields = codec.refusalFields(Optional.of(overQuota.retryAfterMillis()));
            request.caller.respond(TOO_MANY_REQUESTS, fields, "it has not run: the quota of its account is spent");
        } else {
            metrics.unauthorized();
            request.caller.respond(UNAUTHORIZED, HttpFields.EMPTY, "no client account holds this key");
        }
    }

    private void startIfPossible(PendingRequest request, Admission admission, StreamContinuation.Verdict verdict) {
        boolean isWanted = pending.remove(request);
        if (isWanted && verdict instanceof StreamContinuation.Verdict.MayRun mayRun) {
            Route route = mayRun.service().map(request.route::servedBy).orElse(request.route);
            starter.start(request.caller, route, request.head, admission, mayRun.softwareVersion());
            return;
        }
        admission.giveBack();
        if (isWanted) {
            reject(request.caller, "the software version that started its stream is unknown");
        }
    }

    private void reject(ServerExchange caller, String why) {
        LOG.log(
                System.Logger.Level.INFO,
                "forward: refused id={0} why={1}",
                codec.readRequest(caller.request().fields()).id(),
                why);
        long retryAfterMillis = jitter.applyAsLong(OTHER_ENTRY_RETRY_AFTER_MILLIS);
        caller.respond(UNAVAILABLE, codec.refusalFields(Optional.of(retryAfterMillis)), "it has not run: " + why);
    }

    /**
     * Returns whether the request may still run when this process exits. If it is cut off then, it may have run; if it
     * is rejected now, the caller can turn to another entry.
     */
    private boolean mayOutlastProcess(Route route) {
        if (exitAtMillis == Long.MAX_VALUE) {
            return false;
        }
        long remainingMillis = exitAtMillis - EventLoop.nowMillis();
        return route.kind() == Route.Kind.STREAM || remainingMillis < MAX_PLAIN_OBJECTIVES * route.objectiveMillis();
    }

    /** Starts requests that go on. */
    @FunctionalInterface
    interface Starter {

        /** Starts a request, which may run at one software version only if one is given. */
        void start(
                ServerExchange caller,
                Route route,
                MessageCodec.RequestHead head,
                Admission admission,
                Optional<String> softwareVersion);
    }

    /** A request that waits for the gatekeeper. */
    private record PendingRequest(ServerExchange caller, Route route, MessageCodec.RequestHead head) {}
}
