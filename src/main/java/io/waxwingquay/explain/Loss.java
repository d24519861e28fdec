package io.waxwingquay.explain;

import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;

/**
 * Classifies the outcome of a request for its caller. The constants are tested in order, and the first match applies.
 */
public enum Loss {
    /** Refused because no client account holds its key. */
    UNAUTHORIZED(request -> request.reason().startsWith("no client account")),
    /** Refused because the quota of its client account is spent. */
    OVER_QUOTA(request -> request.reason().startsWith("the quota of its account")),
    /** Rejected because no engine had its model in memory. */
    MODEL_ABSENT(request -> request.isRejected() && request.reason().contains("is in no engine")),
    /** Rejected because its adapter was not loaded in time. */
    ADAPTER_ABSENT(request -> request.isRejected() && request.reason().contains("does not come")),
    /** Rejected because no replica had a free slot. */
    NO_ROOM(request -> request.isRejected() && request.reason().contains("no room")),
    /** Rejected for another reason. */
    REFUSED_OTHERWISE(EndedRequest::isRejected),
    /** Its caller disconnected before it had a complete answer. */
    CALLER_LEFT(request -> request.status() == 0 && request.reason().contains("the caller left")),
    /** Its deadline passed. */
    TIME_OVER(request -> request.reason().contains("its time is over")),
    /** A replica answered with a server error. */
    REPLICA_FAILED(request -> request.status() >= EndedRequest.FIRST_SERVER_ERROR
            && request.reason().startsWith("answered by")),
    /** The connection to a replica was lost, or its answer was interrupted, while it ran the request. */
    REPLICA_LOST(request -> !request.isSuccess() && request.status() < EndedRequest.FIRST_CLIENT_ERROR
            || request.status() >= EndedRequest.FIRST_SERVER_ERROR),
    /** A client error, such as a malformed request. */
    CALLER_ERROR(request -> !request.isSuccess()),
    /** The first event was late, and the request was queued in the entry for at least half of that time. */
    LATE_WAITED_HERE(request -> request.isFirstEventLate() && request.isMostlyEntryWait()),
    /** The first event was late, and the request spent more than half of that time in the engine. */
    LATE_WAITED_IN_ENGINE(EndedRequest::isFirstEventLate),
    /** The first event was in time, but a later pause was too long. */
    LATE_BY_PAUSE(EndedRequest::isPauseLate),
    /** Answered in time. */
    NONE(request -> true);

    private final Predicate<EndedRequest> applies;

    Loss(Predicate<EndedRequest> applies) {
        this.applies = applies;
    }

    /**
     * Classifies a request.
     *
     * @param request the request.
     * @return the first constant that matches.
     */
    public static Loss of(EndedRequest request) {
        return List.of(values()).stream()
                .filter(loss -> loss.applies.test(request))
                .findFirst()
                .orElse(NONE);
    }

    /**
     * Returns the label that tables and JSON use.
     *
     * @return the label, in lower case with hyphens.
     */
    public String label() {
        return this == NONE ? "in-time" : name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
