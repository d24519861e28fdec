package io.waxwingquay.explain;

import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;

/**
 * What became of a request as far as its caller is concerned. The first that applies is it.
 */
public enum Loss {
    /** No engine held its model, and it was refused. */
    MODEL_ABSENT(request -> request.isRejected() && request.reason().contains("is in no engine")),
    /** Its adapter was not loaded in time, and it was refused. */
    ADAPTER_ABSENT(request -> request.isRejected() && request.reason().contains("does not come")),
    /** Replicas had no room, and it was refused. */
    NO_ROOM(request -> request.isRejected() && request.reason().contains("no room")),
    /** It was refused for another reason. */
    REFUSED_OTHERWISE(EndedRequest::isRejected),
    /** Its caller left before it had a whole answer. */
    CALLER_LEFT(request -> request.status() == 0 && request.reason().contains("the caller left")),
    /** Its time limit passed. */
    TIME_OVER(request -> request.reason().contains("its time is over")),
    /** A replica answered with a failure of its own. */
    REPLICA_FAILED(request -> request.status() >= EndedRequest.FIRST_SERVER_ERROR
            && request.reason().startsWith("answered by")),
    /** A replica was lost, or broke off, while it ran the request. */
    REPLICA_LOST(request -> !request.isSuccess() && request.status() < EndedRequest.FIRST_CLIENT_ERROR
            || request.status() >= EndedRequest.FIRST_SERVER_ERROR),
    /** The caller's own fault, such as a request that can't be read. */
    CALLER_ERROR(request -> !request.isSuccess()),
    /** Late by its first event, having waited in the entry for most of that time. */
    LATE_WAITED_HERE(request -> request.isFirstEventLate() && request.isMostlyEntryWait()),
    /** Late by its first event, having waited in the engine for most of that time. */
    LATE_WAITED_IN_ENGINE(EndedRequest::isFirstEventLate),
    /** Its first event came in time, but a later pause was too long. */
    LATE_BY_PAUSE(EndedRequest::isPauseLate),
    /** Served in time. */
    NONE(request -> true);

    private final Predicate<EndedRequest> applies;

    Loss(Predicate<EndedRequest> applies) {
        this.applies = applies;
    }

    /**
     * What became of a request.
     *
     * @param request the request.
     * @return the first of these that applies.
     */
    public static Loss of(EndedRequest request) {
        return List.of(values()).stream()
                .filter(loss -> loss.applies.test(request))
                .findFirst()
                .orElse(NONE);
    }

    /**
     * How it is called in tables and in JSON.
     *
     * @return lower case words, joined by hyphens.
     */
    public String label() {
        return this == NONE ? "in-time" : name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
