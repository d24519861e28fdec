package io.waxwingquay.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.eclipse.jetty.http.HttpFields;

/**
 * Reads and writes the header fields that callers and replicas use.
 */
public interface MessageCodec {

    /**
     * Reads what a caller says of its request.
     *
     * @param fields the fields of the request.
     * @return what it says; parts that are missing or can't be read are empty.
     */
    RequestHead readRequest(HttpFields fields);

    /**
     * The fields of a request to a replica: the caller's, without those that are this system's to set.
     *
     * @param fields the fields of the caller's request.
     * @param head what this system sets.
     * @return the fields, without framing.
     */
    HttpFields requestFields(HttpFields fields, ForwardedHead head);

    /**
     * Reads the head of a replica's answer.
     *
     * @param status its status.
     * @param fields its fields.
     * @return what it says of the run.
     */
    ResponseHead readResponse(int status, HttpFields fields);

    /**
     * What tells a caller's request from others, whenever it comes again.
     *
     * @param fields the fields of the caller's request.
     * @return values, always as many; empty text for a field that is not there.
     */
    List<String> identityFields(HttpFields fields);

    /**
     * The fields of a refusal.
     *
     * @param retryAfterMillis when the caller may come again; empty if that would not help.
     * @return the fields.
     */
    HttpFields refusalFields(Optional<Long> retryAfterMillis);

    /**
     * What a caller says of its request.
     *
     * @param id the id of this attempt; empty text if it has none.
     * @param remainingMillis how long the caller waits.
     * @param model the model asked for.
     * @param adapter the adapter of that model.
     * @param inputTokens tokens of the prompt; 0 if not told.
     * @param maxOutputTokens the most tokens to generate; 0 if not told.
     * @param sharedPromptPrefix the shared parts of the prompt before its own last one; empty text if there are none.
     * @param lastEventId the last event that the caller has of an earlier run of this stream.
     */
    record RequestHead(
            String id,
            Optional<Long> remainingMillis,
            Optional<String> model,
            Optional<String> adapter,
            long inputTokens,
            long maxOutputTokens,
            String sharedPromptPrefix,
            Optional<Long> lastEventId) {}

    /**
     * What this system sets on a request to a replica.
     *
     * @param replicaId the only replica that may run it.
     * @param remainingMillis time left.
     * @param priority its urgency for an engine, 0 first; empty for a plain service.
     * @param lastEventId the last event that needs no repeat.
     */
    record ForwardedHead(
            String replicaId, long remainingMillis, Optional<Integer> priority, Optional<Long> lastEventId) {}

    /**
     * What the head of an answer says.
     *
     * @param id the id of the request that it answers; empty text if it names none.
     * @param didNotRun whether the replica promises that the request has not run there.
     * @param misdirected whether another replica, or one that lacks the model, was reached.
     * @param full whether the replica had no room.
     * @param replicaId the replica that answered, if it says so.
     * @param limitPerSecond the requests a second that the replica takes from all entries together, if it names a limit.
     */
    record ResponseHead(
            String id,
            boolean didNotRun,
            boolean misdirected,
            boolean full,
            Optional<String> replicaId,
            OptionalDouble limitPerSecond) {}
}
