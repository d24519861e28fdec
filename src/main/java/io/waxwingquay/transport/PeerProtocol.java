package io.waxwingquay.transport;

import io.waxwingquay.transport.generated.BundleAnswer;
import io.waxwingquay.transport.generated.BundleRequest;
import io.waxwingquay.transport.generated.GossipAnswer;
import io.waxwingquay.transport.generated.GossipRequest;
import io.waxwingquay.transport.generated.PermitAnswer;
import io.waxwingquay.transport.generated.PermitRequest;
import io.waxwingquay.transport.generated.PermitReturn;
import io.waxwingquay.transport.generated.SuspectNotice;
import java.util.concurrent.CompletableFuture;

/**
 * The calls between any two processes. Implemented by the handler behind a server and by the client of a connection; a
 * client's futures fail with {@link TransportException}.
 */
public interface PeerProtocol {

    /**
     * Exchanges membership and suspects.
     *
     * @param request the digests and changes of the requesting process.
     * @return the changes for the requesting process.
     */
    CompletableFuture<GossipAnswer> gossip(GossipRequest request);

    /**
     * Fetches the signed bundle in force if it is newer.
     *
     * @param request the version that the requesting process has.
     * @return the bundle document and signature, or only the version.
     */
    CompletableFuture<BundleAnswer> fetchBundle(BundleRequest request);

    /**
     * Pushes suspects without waiting for gossip.
     *
     * @param notice the suspects.
     * @return whether the suspects were accepted.
     */
    CompletableFuture<Boolean> noteSuspects(SuspectNotice notice);

    /**
     * Requests a permit from the process that manages a limit.
     *
     * @param request the limit and the holder.
     * @return whether the permit was granted.
     */
    CompletableFuture<PermitAnswer> borrowPermit(PermitRequest request);

    /**
     * Returns a permit.
     *
     * @param request the permit.
     * @return whether the permit was known.
     */
    CompletableFuture<Boolean> returnPermit(PermitReturn request);

    /**
     * Checks that the connection and the process are alive.
     *
     * @return always true.
     */
    CompletableFuture<Boolean> ping();
}
