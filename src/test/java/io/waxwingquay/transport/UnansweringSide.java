package io.waxwingquay.transport;

import io.waxwingquay.transport.generated.BundleAnswer;
import io.waxwingquay.transport.generated.BundleRequest;
import io.waxwingquay.transport.generated.GossipAnswer;
import io.waxwingquay.transport.generated.GossipRequest;
import io.waxwingquay.transport.generated.PermitAnswer;
import io.waxwingquay.transport.generated.PermitRequest;
import io.waxwingquay.transport.generated.PermitReturn;
import io.waxwingquay.transport.generated.PollAnswer;
import io.waxwingquay.transport.generated.PollRequest;
import io.waxwingquay.transport.generated.ResolveAnswer;
import io.waxwingquay.transport.generated.ResolveRequest;
import io.waxwingquay.transport.generated.Submission;
import io.waxwingquay.transport.generated.SubmitAnswer;
import io.waxwingquay.transport.generated.SuspectNotice;
import java.util.concurrent.CompletableFuture;

/** A handler that answers only pings; tests override the other calls as needed. */
class UnansweringSide implements SideProtocol {

    @Override
    public CompletableFuture<SubmitAnswer> submit(Submission submission) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<PollAnswer> poll(PollRequest request) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Boolean> cancel(String attemptId) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<ResolveAnswer> resolve(ResolveRequest request) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<GossipAnswer> gossip(GossipRequest request) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<BundleAnswer> fetchBundle(BundleRequest request) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Boolean> noteSuspects(SuspectNotice notice) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<PermitAnswer> borrowPermit(PermitRequest request) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Boolean> returnPermit(PermitReturn request) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Boolean> ping() {
        return CompletableFuture.completedFuture(true);
    }
}
