package io.waxwingquay.transport;

import io.waxwingquay.transport.generated.PollAnswer;
import io.waxwingquay.transport.generated.PollRequest;
import io.waxwingquay.transport.generated.ResolveAnswer;
import io.waxwingquay.transport.generated.ResolveRequest;
import io.waxwingquay.transport.generated.Submission;
import io.waxwingquay.transport.generated.SubmitAnswer;
import java.util.concurrent.CompletableFuture;

/**
 * What an entry says to a side process. A repeated submission of the same attempt attaches to the first.
 */
public interface SideProtocol extends PeerProtocol {

    /**
     * Hands over one attempt.
     *
     * @param submission the attempt.
     * @return whether the side process took it.
     */
    CompletableFuture<SubmitAnswer> submit(Submission submission);

    /**
     * Waits for more of an attempt's answer; answers within the wait even when nothing is new.
     *
     * @param request the attempt, the offset wanted and the longest wait.
     * @return chunks from that offset on and the attempt's state.
     */
    CompletableFuture<PollAnswer> poll(PollRequest request);

    /**
     * Cancels an attempt whose answer nobody wants any more.
     *
     * @param attemptId the attempt.
     * @return whether it was known.
     */
    CompletableFuture<Boolean> cancel(String attemptId);

    /**
     * Tells whether an attempt ran, and on request forbids that it ever starts.
     *
     * @param request the attempt.
     * @return what is known.
     */
    CompletableFuture<ResolveAnswer> resolve(ResolveRequest request);
}
