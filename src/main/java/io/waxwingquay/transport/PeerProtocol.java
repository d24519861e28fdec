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
 * What any two processes say to each other. It is implemented by the handler behind a server and by the
 * client of a connection; a client's futures fail with {@link TransportException}.
 */
public interface PeerProtocol {

    /**
     * Exchanges membership and suspects.
     *
     * @param request digests and news of the asking process.
     * @return news for the asking process.
     */
    CompletableFuture<GossipAnswer> gossip(GossipRequest request);

    /**
     * Fetches the signed bundle in force, if newer.
     *
     * @param request the version the asking process has.
     * @return the bundle document and signature, or only the version.
     */
    CompletableFuture<BundleAnswer> fetchBundle(BundleRequest request);

    /**
     * Pushes suspects ahead of gossip.
     *
     * @param notice the suspects.
     * @return whether they were taken in.
     */
    CompletableFuture<Boolean> noteSuspects(SuspectNotice notice);

    /**
     * Asks the home of a limit for a permit.
     *
     * @param request what is asked.
     * @return whether it was granted.
     */
    CompletableFuture<PermitAnswer> borrowPermit(PermitRequest request);

    /**
     * Gives a permit back.
     *
     * @param request which permit.
     * @return whether it was known.
     */
    CompletableFuture<Boolean> returnPermit(PermitReturn request);

    /**
     * Checks that the connection and the process are alive.
     *
     * @return always true.
     */
    CompletableFuture<Boolean> ping();
}
