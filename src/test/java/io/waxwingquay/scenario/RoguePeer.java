package io.waxwingquay.scenario;

import io.waxwingquay.bundle.BundleSigner;
import io.waxwingquay.bundle.KeyCodec;
import io.waxwingquay.bundle.SignedBundle;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.process.EntryProcess;
import io.waxwingquay.process.SideProcess;
import io.waxwingquay.transport.PeerProtocol;
import io.waxwingquay.transport.ThriftConnections;
import io.waxwingquay.transport.ThriftServer;
import io.waxwingquay.transport.generated.BundleAnswer;
import io.waxwingquay.transport.generated.BundleRequest;
import io.waxwingquay.transport.generated.GossipAnswer;
import io.waxwingquay.transport.generated.GossipRequest;
import io.waxwingquay.transport.generated.PermitAnswer;
import io.waxwingquay.transport.generated.PermitRequest;
import io.waxwingquay.transport.generated.PermitReturn;
import io.waxwingquay.transport.generated.SuspectNotice;
import java.nio.ByteBuffer;
import java.security.KeyPair;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** A process that tells of a far higher version, and hands out an old bundle or one that no operator signed. */
final class RoguePeer implements PeerProtocol, AutoCloseable {

    private static final long BOASTED_VERSION = 99L;

    private final ThriftServer server = ThriftServer.bind(new HostPort("127.0.0.1", 0));
    private final ThriftConnections connections = ThriftConnections.builder().build();
    private final AtomicInteger fetches = new AtomicInteger();
    private final DeploymentWorld world;
    private final SignedBundle offered;

    private RoguePeer(DeploymentWorld world, SignedBundle offered) {
        this.world = world;
        this.offered = offered;
    }

    static RoguePeer start(DeploymentWorld world, String kind, long version) {
        byte[] document = DeploymentWorld.document(version, text -> text);
        SignedBundle offered =
                switch (kind) {
                    case "forged" -> forged(document);
                    case "altered" -> altered(world, document, version);
                    default -> world.deployment().sign(document);
                };
        RoguePeer peer = new RoguePeer(world, offered);
        peer.server.servePeer(peer);
        return peer;
    }

    int fetches() {
        return fetches.get();
    }

    /** Tells every process of the version it does not have. */
    void tellAll() {
        HostPort self = server.address();
        GossipRequest news =
                new GossipRequest("rogue", self.host(), self.port(), BOASTED_VERSION, List.of(), List.of(), List.of());
        Stream.concat(
                        world.deployment().entries().stream().map(EntryProcess::address),
                        world.deployment().sides().values().stream().map(SideProcess::address))
                .forEach(address -> connections.to(address).gossip(news));
    }

    /** Signed by a stranger. */
    private static SignedBundle forged(byte[] document) {
        KeyPair stranger = KeyCodec.generate();
        return BundleSigner.of(stranger.getPrivate(), stranger.getPublic()).sign(document);
    }

    /** Another document under the signature of the bundle in force. */
    private static SignedBundle altered(DeploymentWorld world, byte[] document, long version) {
        BundleAnswer genuine;
        try (ThriftConnections asking = ThriftConnections.builder().build()) {
            genuine = asking.to(world.entry(0).address())
                    .fetchBundle(new BundleRequest(0L))
                    .join();
        }
        return new SignedBundle(version, document, genuine.getSignature(), genuine.getKeyId());
    }

    @Override
    public CompletableFuture<GossipAnswer> gossip(GossipRequest request) {
        return CompletableFuture.completedFuture(new GossipAnswer(BOASTED_VERSION, List.of(), List.of(), List.of()));
    }

    @Override
    public CompletableFuture<BundleAnswer> fetchBundle(BundleRequest request) {
        fetches.incrementAndGet();
        return CompletableFuture.completedFuture(new BundleAnswer(offered.version())
                .setDocument(ByteBuffer.wrap(offered.document()))
                .setSignature(offered.signature())
                .setKeyId(offered.keyId()));
    }

    @Override
    public CompletableFuture<Boolean> noteSuspects(SuspectNotice notice) {
        return CompletableFuture.completedFuture(true);
    }

    @Override
    public CompletableFuture<PermitAnswer> borrowPermit(PermitRequest request) {
        return CompletableFuture.completedFuture(new PermitAnswer(false, Long.MAX_VALUE));
    }

    @Override
    public CompletableFuture<Boolean> returnPermit(PermitReturn request) {
        return CompletableFuture.completedFuture(false);
    }

    @Override
    public CompletableFuture<Boolean> ping() {
        return CompletableFuture.completedFuture(true);
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        server.close();
        connections.close();
    }
}
