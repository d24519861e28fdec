package io.waxwingquay.forward;

import io.waxwingquay.account.AccessKey;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.net.ClientRequest;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpFields;

/** Reads and writes the header fields that callers and replicas use. */
public interface MessageCodec {

    /**
     * Reads the head of a request.
     *
     * @param fields the fields of the request.
     * @return what the caller states; parts that are missing or unreadable are empty.
     */
    RequestHead readRequest(HttpFields fields);

    /**
     * Returns why a stream can't be resumed as its caller requests.
     *
     * @param fields the fields of the caller's request.
     * @param isResumable whether streams of its route may be resumed.
     * @return which field is wrong and what it has to be; empty if the stream is not to be resumed, or can be.
     */
    Optional<String> resumptionFault(HttpFields fields, boolean isResumable);

    /**
     * Returns the fields of a request to a replica: those of the caller, except for the fields that only this system
     * may set.
     *
     * @param fields the fields of the caller's request.
     * @param head what this system sets.
     * @return the fields, without framing.
     */
    HttpFields requestFields(HttpFields fields, ForwardedHead head);

    /**
     * Reads the head of a response.
     *
     * @param status the status.
     * @param fields the fields.
     * @return what the replica states about the execution.
     */
    ResponseHead readResponse(int status, HttpFields fields);

    /**
     * Returns the fields that identify a request of a caller across its attempts.
     *
     * @param fields the fields of the caller's request.
     * @return values, always the same number of them; an empty text for a missing field.
     */
    List<String> identityFields(HttpFields fields);

    /**
     * Returns the fields of a rejection.
     *
     * @param retryAfterMillis when the caller may try again; empty if that would not help.
     * @return the fields.
     */
    HttpFields refusalFields(Optional<Long> retryAfterMillis);

    /**
     * Returns the request that asks an engine which incarnation it is.
     *
     * @param address the engine's address.
     * @return the request, for which the engine needs no slot.
     */
    ClientRequest incarnationQuery(HostPort address);

    /**
     * Reads the answer to {@link #incarnationQuery}.
     *
     * @param answer the body of the answer.
     * @return the start time of the incarnation; empty if the answer states none.
     */
    OptionalLong readIncarnation(byte[] answer);

    /**
     * The head of a request of a caller.
     *
     * @param id the id of this attempt of the caller; an empty text if it has none.
     * @param remainingMillis how long the caller waits.
     * @param model the requested model.
     * @param adapter the requested adapter of that model.
     * @param inputTokens tokens of the prompt; 0 if not stated.
     * @param maxOutputTokens the most tokens to generate; 0 if not stated.
     * @param lengthHintTokens the tokens that the caller expects to be generated; at least 0.
     * @param sharedPromptParts the ids of the parts of the prompt that other requests may share, in order; without the
     *     last part, which belongs to the request or its session.
     * @param lastEventId the last event that the caller received from an earlier run of this stream.
     * @param resumedId the id of the attempt that brought the first event of the stream that this request resumes.
     * @param key the key of a client account, if there is exactly one that may be one.
     */
    record RequestHead(
            String id,
            Optional<Long> remainingMillis,
            Optional<String> model,
            Optional<String> adapter,
            long inputTokens,
            long maxOutputTokens,
            OptionalLong lengthHintTokens,
            List<String> sharedPromptParts,
            Optional<Long> lastEventId,
            Optional<String> resumedId,
            Optional<AccessKey> key) {

        /**
         * Returns the id of the stream over all attempts of its caller.
         *
         * @return the id of the attempt that brought its first event, which is this one if it resumes none.
         */
        String streamId() {
            return resumedId.orElse(id);
        }

        /**
         * Returns whether the caller has events of the stream already.
         *
         * @return whether the stream must be resumed at the software version that started it.
         */
        boolean resumesStream() {
            return resumedId.isPresent() || lastEventId.isPresent();
        }
    }

    /**
     * The head fields that this system sets on a request to a replica.
     *
     * @param replicaId the only replica that may run the request.
     * @param remainingMillis the remaining time.
     * @param priority its priority in the engine, 0 first; empty for a plain service.
     * @param lastEventId the last event that need not be repeated.
     * @param account the name of the client account that the request belongs to.
     */
    record ForwardedHead(
            String replicaId,
            long remainingMillis,
            Optional<Integer> priority,
            Optional<Long> lastEventId,
            Optional<String> account) {}

    /**
     * The head of a response.
     *
     * @param id the id of the answered request; an empty text if none is named, and that of no request if several are.
     * @param authenticated whether the replica's authentication code is there, without which callers accept no success.
     * @param didNotRun whether the replica guarantees that it has not run the request.
     * @param misdirected whether another replica, or one that lacks the model, was reached.
     * @param full whether the replica had no room.
     * @param replicaId the replica that answered, if it is named.
     * @param limitPerSecond the requests per second that the replica accepts from all entries together, if it announces
     *     a limit.
     * @param leaving whether the replica announces that it is about to leave.
     * @param refusesForMillis how long the replica wants no further request from this entry; empty if it has not refused
     *     the request or names no time.
     */
    record ResponseHead(
            String id,
            boolean authenticated,
            boolean didNotRun,
            boolean misdirected,
            boolean full,
            Optional<String> replicaId,
            OptionalDouble limitPerSecond,
            boolean leaving,
            OptionalLong refusesForMillis) {}
}
