package io.waxwingquay.forward;

import io.waxwingquay.manifest.Engine;
import io.waxwingquay.manifest.Route;
import io.waxwingquay.net.ClientRequest;
import io.waxwingquay.net.ServerRequest;
import io.waxwingquay.reservation.Rank;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpFields;

/** The terms of one request, which are the same for all its attempts: what it requests, its route and its deadline. */
final class RequestTerms {

    /** Objective above which a request has the lower priority of two on routes of the same priority. */
    private static final long RELAXED_OBJECTIVE_MILLIS = 1_000L;

    /** Time after which an engine that has too many bodies from here is expected to take one more. */
    private static final long BODY_WAIT_MILLIS = 150L;

    private static final int LOWEST_PRIORITY = 9;

    /**
     * The rank of a stream that its caller has begun to read, before those of accounts and routes, which begin at 0: it is lost if it is not resumed within
     * seconds, and only some of the engines may resume it.
     */
    private static final Rank RESUMED = new Rank(-1, -1, 0);

    /** Engine priorities for the routes of one priority class of accounts; engines have ten, so that two classes fit. */
    private static final int PRIORITIES_PER_ACCOUNT_CLASS = 5;

    /** Remaining time below which a further attempt can't finish before the deadline. */
    private static final long MIN_ATTEMPT_MILLIS = 30L;

    private final ForwardContext context;
    private final ServerRequest request;
    private final Route route;
    private final MessageCodec.RequestHead head;
    private final Admission admission;
    private final String service;
    private final Optional<Engine> engine;
    private final long deadlineAtMillis;

    private RequestTerms(
            ForwardContext context,
            ServerRequest request,
            Route route,
            MessageCodec.RequestHead head,
            Admission admission) {
        this.context = context;
        this.request = request;
        this.route = route;
        this.head = head;
        this.admission = admission;
        this.service = route.chooseService(context.stableUniform(head.streamId()));
        this.engine = context.engine(service);
        long callerTimeoutMillis = head.remainingMillis().orElse(route.timeoutMillis());
        this.deadlineAtMillis = request.arrivedMillis() + Math.min(callerTimeoutMillis, route.timeoutMillis());
    }

    /** Returns the terms of a request that matches a route. */
    static RequestTerms of(
            ForwardContext context,
            ServerRequest request,
            Route route,
            MessageCodec.RequestHead head,
            Admission admission) {
        return new RequestTerms(context, request, route, head, admission);
    }

    Admission admission() {
        return admission;
    }

    /** Returns whether the configuration in force still knows the client account that it was admitted for. */
    boolean isStillAuthorized() {
        return context.gatekeeper().isStillAuthorized(route, head, admission);
    }

    Route route() {
        return route;
    }

    MessageCodec.RequestHead head() {
        return head;
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

    /** Returns whether it needs a model of an engine; otherwise any replica of its service will do. */
    boolean needsModel() {
        return engine.isPresent() && head.model().isPresent();
    }

    /** Returns the time to the deadline; 0 or less after it. */
    long remainingMillis(long nowMillis) {
        return deadlineAtMillis - nowMillis;
    }

    boolean hasTimeForAttempt(long nowMillis) {
        return remainingMillis(nowMillis) > MIN_ATTEMPT_MILLIS;
    }

    long deadlineAtMillis() {
        return deadlineAtMillis;
    }

    boolean mayWaitForModel(long readyMillis, long nowMillis) {
        return WaitPolicy.mayWaitForModel(route, waitedMillis(nowMillis), readyMillis, remainingMillis(nowMillis));
    }

    boolean mayWaitForRoom(long nowMillis) {
        return mayEnqueue(0, nowMillis);
    }

    boolean mayEnqueue(long expectedWaitMillis, long nowMillis) {
        return isResumedByCaller()
                ? expectedWaitMillis < remainingResumedWaitMillis(nowMillis)
                : WaitPolicy.mayEnqueue(route, waitedMillis(nowMillis), expectedWaitMillis, timeoutMillis());
    }

    /** Returns whether it goes on with a stream of which it is known that a replica began it for this caller. */
    private boolean isResumedByCaller() {
        return isStream() && head.resumedId().isPresent() && head.lastEventId().isPresent();
    }

    private long remainingResumedWaitMillis(long nowMillis) {
        return WaitPolicy.remainingResumedWaitMillis(route, waitedMillis(nowMillis), timeoutMillis());
    }

    private long timeoutMillis() {
        return deadlineAtMillis - request.arrivedMillis();
    }

    /** Returns how much longer the request may wait for a slot that a side process grants. */
    long remainingSlotWaitMillis(long nowMillis) {
        long usualMillis = WaitPolicy.remainingSlotWaitMillis(route, waitedMillis(nowMillis), timeoutMillis());
        return isResumedByCaller() ? Math.max(usualMillis, remainingResumedWaitMillis(nowMillis)) : usualMillis;
    }

    /** Returns the slots of an engine that are free by the last report of its load. */
    int freeSlots(Target target, long nowMillis) {
        return engine.map(known -> known.slots() - target.expectedLoad(nowMillis))
                .orElse(0);
    }

    /** Returns the time by which requests of the same rank are ordered, the least first. */
    long slackMillis(long nowMillis) {
        return isResumedByCaller()
                ? remainingResumedWaitMillis(nowMillis)
                : WaitPolicy.slackMillis(route, waitedMillis(nowMillis));
    }

    /** Returns the rank of the request among those that wait for the same slots. */
    Rank waitRank(StreamProgress stream) {
        return stream.hasBegun() || isResumedByCaller()
                ? RESUMED
                : new Rank(admission.priority().orElse(0), route.priority(), route.objectiveMillis());
    }

    /** Returns the name of the queue of requests that wait for the same slots. */
    WaitQueues.Name queueName(StreamProgress stream) {
        return new WaitQueues.Name(service, head.model().orElse(""), stream.softwareVersion());
    }

    /**
     * Returns whether the caller still waits when the replica begins to respond, having received nothing new for this
     * long.
     */
    boolean callerWaitsForAnswer(Target target, long callerIdleMillis, long nowMillis) {
        return WaitPolicy.callerWaitsForAnswer(
                route, callerIdleMillis, target.attemptHistory().recentAnswerMillis(nowMillis));
    }

    /**
     * Chooses a replica other than the excluded ones.
     *
     * @param stream the progress of the stream, which limits where it may be resumed.
     * @param slotUse which engines are asked for slots.
     * @param slotYield which engines are left to streams that are resumed, if the request is none.
     */
    Choice choose(StreamProgress stream, Set<Target> excluded, SlotUse slotUse, SlotYield slotYield, long nowMillis) {
        if (stream.softwareVersion().isEmpty()) {
            return chooseAmong(context.targets(service), excluded, slotUse, slotYield, nowMillis);
        }
        List<Target> ofVersion = context.targets(service).stream()
                .filter(target -> target.softwareVersion().equals(stream.softwareVersion()))
                .toList();
        boolean mayResume =
                ofVersion.stream().anyMatch(target -> target.acceptsRequests() && !excluded.contains(target));
        boolean mayBecomeKnown = confirm(stream.softwareVersion(), excluded, nowMillis);
        if (mayResume) {
            return chooseAmong(ofVersion, excluded, slotUse, new SlotYield.Disabled(), nowMillis);
        }
        return mayBecomeKnown ? new Choice.AwaitConfirmation() : new Choice.NoReplicaOfVersion();
    }

    /** Has the replicas confirmed that are listed with a version and could run the request; returns whether there are any. */
    private boolean confirm(Optional<String> softwareVersion, Set<Target> excluded, long nowMillis) {
        List<Target> unconfirmed = context.targets(service).stream()
                .filter(target -> target.statedSoftwareVersion().equals(softwareVersion))
                .filter(target -> target.isAwaitingConfirmation() && target.acceptsRequests())
                .filter(target -> !excluded.contains(target))
                .filter(target -> head.model()
                        .map(model -> target.holds(model, nowMillis))
                        .orElse(true))
                .toList();
        unconfirmed.forEach(context::confirmIncarnation);
        return !unconfirmed.isEmpty();
    }

    private Choice chooseAmong(
            Collection<Target> targets, Set<Target> excluded, SlotUse slotUse, SlotYield slotYield, long nowMillis) {
        return needsModel()
                ? chooseEngine(targets, excluded, slotUse, slotYield, nowMillis)
                : context.chooser().choosePlain(targets, excluded, nowMillis);
    }

    /** Chooses an engine that may get the body; where only the body is in the way, the request waits as for a slot. */
    private Choice chooseEngine(
            Collection<Target> targets, Set<Target> excluded, SlotUse slotUse, SlotYield slotYield, long nowMillis) {
        Set<Target> withoutBodyRoom = targets.stream()
                .filter(target -> !excluded.contains(target))
                .filter(target -> !hasRoomForBody(target))
                .collect(Collectors.toSet());
        Set<Target> all =
                Stream.concat(excluded.stream(), withoutBodyRoom.stream()).collect(Collectors.toSet());
        Choice choice = context.chooser()
                .chooseEngine(
                        targets,
                        all,
                        engine.get(),
                        EngineRequirements.of(head, context.demandMeter(), slotUse, slotYield),
                        nowMillis);
        return choice instanceof Choice.NoReplica && !withoutBodyRoom.isEmpty()
                ? new Choice.Full(BODY_WAIT_MILLIS, 0, OptionalLong.empty())
                : choice;
    }

    /** Returns whether this entry may send the request's body to a replica, beside those that it has there. */
    boolean hasRoomForBody(Target target) {
        return target.bodyShare().hasRoomFor(bodyBytes(), context.entryCount());
    }

    /** Returns the length of the request's body. */
    long bodyBytes() {
        return request.body().length;
    }

    /**
     * Creates the request to send to a replica now.
     *
     * @param target the replica.
     * @param lastEventId the last event of the stream that the caller received.
     * @param nowMillis the monotonic time.
     */
    ClientRequest toClientRequest(Target target, OptionalLong lastEventId, long nowMillis) {
        MessageCodec.ForwardedHead forwarded = new MessageCodec.ForwardedHead(
                target.id(),
                Math.max(1, remainingMillis(nowMillis)),
                engine.map(each -> enginePriority()),
                lastEventId.stream().boxed().findFirst(),
                admission.accountName());
        HttpFields fields = context.codec().requestFields(request.fields(), forwarded);
        return new ClientRequest(request.method(), request.target(), fields, request.body(), route.isSafeToRetry());
    }

    /**
     * Returns the priority in the engine: that of the client account first if it has one, then that of the route, and
     * within it the urgency.
     */
    private int enginePriority() {
        int relaxed = route.objectiveMillis() > RELAXED_OBJECTIVE_MILLIS ? 1 : 0;
        int ofRoute = 2 * route.priority() + relaxed;
        return Math.min(
                LOWEST_PRIORITY,
                admission.priority().isPresent()
                        ? admission.priority().getAsInt() * PRIORITIES_PER_ACCOUNT_CLASS
                                + Math.min(PRIORITIES_PER_ACCOUNT_CLASS - 1, ofRoute)
                        : ofRoute);
    }

    private long waitedMillis(long nowMillis) {
        return nowMillis - request.arrivedMillis();
    }
}
