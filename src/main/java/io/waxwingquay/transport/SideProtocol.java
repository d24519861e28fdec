package io.waxwingquay.transport;

import io.waxwingquay.transport.generated.PollAnswer;
import io.waxwingquay.transport.generated.PollRequest;
import io.waxwingquay.transport.generated.ResolveAnswer;
import io.waxwingquay.transport.generated.ResolveRequest;
import io.waxwingquay.transport.generated.Submission;
import io.waxwingquay.transport.generated.SubmitAnswer;
import java.util.concurrent.CompletableFuture;

/**
 * The calls from an entry to a side process. A repeated submission of the same attempt attaches to the first one.
 */
public interface SideProtocol extends PeerProtocol {

    /**
     * Submits an attempt.
     *
     * @param submission the attempt.
     * @return whether the side process accepted it.
     */
    CompletableFuture<SubmitAnswer> submit(Submission submission);

    /**
     * Waits for the next chunks of an attempt's answer (long poll). Answers within the maximum wait even without new
     * chunks.
     *
     * @param request the attempt, the start offset and the maximum wait.
     * @return the chunks from that offset on and the state of the attempt.
     */
    CompletableFuture<PollAnswer> poll(PollRequest request);

    /**
     * Cancels an attempt whose answer is no longer needed.
     *
     * @param attemptId the attempt.
     * @return whether the attempt was known.
     */
    CompletableFuture<Boolean> cancel(String attemptId);

    /**
     * Reports whether an attempt ran and, if requested, prevents it from ever starting.
     *
     * @param request the attempt.
     * @return what the side process knows of the attempt.
     */
    CompletableFuture<ResolveAnswer> resolve(ResolveRequest request);
}
