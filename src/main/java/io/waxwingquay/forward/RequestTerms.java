package io.waxwingquay.forward;

import io.waxwingquay.manifest.Engine;
import io.waxwingquay.manifest.Route;
import io.waxwingquay.net.ClientRequest;
import io.waxwingquay.net.ServerRequest;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;

/** What one request asks for, by which route, and how long it may take; it stays the same for all its tries. */
final class RequestTerms {

    /** Of two requests of the same rank the one with an objective above this can wait. */
    private static final long RELAXED_OBJECTIVE_MILLIS = 1_000L;

    private static final int LOWEST_RANK = 9;

    private final ForwardContext context;
    private final ServerRequest request;
    private final Route route;
    private final MessageCodec.RequestHead ask;
    private final String service;
    private final Optional<Engine> engine;
    private final long limitMillis;

    private RequestTerms(ForwardContext context, ServerRequest request, Route route, MessageCodec.RequestHead ask) {
        this.context = context;
        this.request = request;
        this.route = route;
        this.ask = ask;
        this.service = route.service(context.uniform(ask.id()));
        this.engine = context.engine(service);
        long callerMillis = ask.remainingMillis().orElse(route.timeoutMillis());
        this.limitMillis = request.arrivedMillis() + Math.min(callerMillis, route.timeoutMillis());
    }

    /** The terms of a request that a route takes. */
    static RequestTerms of(ForwardContext context, ServerRequest request, Route route, MessageCodec.RequestHead ask) {
        return new RequestTerms(context, request, route, ask);
    }

    Route route() {
        return route;
    }

    MessageCodec.RequestHead ask() {
        return ask;
    }

    String service() {
        return service;
    }

    long arrivedMillis() {
        return request.arrivedMillis();
    }

    boolean isStream() {
        return route.kind() == Route.Kind.STREAM;
    }

    /** Whether it needs a model of an engine; else any replica of its service will do. */
    boolean needsModel() {
        return engine.isPresent() && ask.model().isPresent();
    }

    /** What is left of its time; none or less when it is over. */
    long leftMillis(long nowMillis) {
        return limitMillis - nowMillis;
    }

    boolean mayWaitForModel(long readyMillis, long nowMillis) {
        return Patience.mayWaitForModel(route, waitedMillis(nowMillis), readyMillis, leftMillis(nowMillis));
    }

    boolean mayWaitForRoom(long nowMillis) {
        return mayEnqueue(0, nowMillis);
    }

    boolean mayEnqueue(long placeMillis, long nowMillis) {
        long allMillis = limitMillis - request.arrivedMillis();
        return Patience.mayEnqueue(route, waitedMillis(nowMillis), placeMillis, allMillis);
    }

    long slackMillis(long nowMillis) {
        return Patience.slackMillis(route, waitedMillis(nowMillis));
    }

    /** What those that wait for the same places have in common. */
    String queueKey() {
        return service + '/' + ask.model().orElse("");
    }

    /** Whether its caller is still there when a replica begins to answer, if it has had nothing new for so long. */
    boolean mayBegin(Target target, long silentMillis, long nowMillis) {
        return Patience.mayBegin(route, silentMillis, target.tries().recentAnswerMillis(nowMillis));
    }

    /** Chooses a replica for it, other than those named. */
    Choice choose(Set<Target> without, long nowMillis) {
        TargetChooser chooser = context.chooser();
        return needsModel()
                ? chooser.chooseEngine(
                        context.targets(service),
                        without,
                        engine.get(),
                        EngineNeed.of(ask, context.demand()),
                        nowMillis)
                : chooser.choosePlain(context.targets(service), without, nowMillis);
    }

    /**
     * The request as it is sent to a replica now.
     *
     * @param target the replica.
     * @param lastEventId the last event of its stream that the caller has.
     * @param nowMillis the steady time.
     */
    ClientRequest forReplica(Target target, OptionalLong lastEventId, long nowMillis) {
        MessageCodec.ForwardedHead order = new MessageCodec.ForwardedHead(
                target.id(),
                Math.max(1, leftMillis(nowMillis)),
                engine.map(each -> rank()),
                lastEventId.stream().boxed().findFirst());
        HttpFields fields = context.codec().requestFields(request.fields(), order);
        return new ClientRequest(request.method(), request.target(), fields, request.body(), route.mayRepeat());
    }

    /** An operator's rank first; within it, what must come sooner. */
    private int rank() {
        int relaxed = route.objectiveMillis() > RELAXED_OBJECTIVE_MILLIS ? 1 : 0;
        return Math.min(LOWEST_RANK, 2 * route.priority() + relaxed);
    }

    private long waitedMillis(long nowMillis) {
        return nowMillis - request.arrivedMillis();
    }
}
