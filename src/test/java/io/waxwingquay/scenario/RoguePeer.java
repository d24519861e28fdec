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

/** Peer that announces a far higher version, and serves an older bundle or one that no operator signed. */
final class RoguePeer implements PeerProtocol, AutoCloseable {

    private static final long ANNOUNCED_VERSION = 99L;

    private final ThriftServer server = ThriftServer.bind(new HostPort("127.0.0.1", 0));
    private final ThriftConnections connections = ThriftConnections.builder().build();
    private final AtomicInteger fetchCount = new AtomicInteger();
    private final DeploymentWorld world;
    private final SignedBundle offeredBundle;

    private RoguePeer(DeploymentWorld world, SignedBundle offered) {
        this.world = world;
        this.offeredBundle = offered;
    }

    static RoguePeer start(DeploymentWorld world, String kind, long version) {
        byte[] document = DeploymentWorld.bundleDocument(version, text -> text);
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

    int fetchCount() {
        return fetchCount.get();
    }

    /** Sends every process a status update with a version that this peer does not have. */
    void sendUpdateToAll() {
        HostPort self = server.address();
        GossipRequest update = new GossipRequest(
                "rogue", self.host(), self.port(), ANNOUNCED_VERSION, List.of(), List.of(), List.of());
        Stream.concat(
                        world.deployment().entries().stream().map(EntryProcess::address),
                        world.deployment().sides().values().stream().map(SideProcess::address))
                .forEach(address -> connections.to(address).gossip(update));
    }

    /** Returns the document signed with an untrusted key. */
    private static SignedBundle forged(byte[] document) {
        KeyPair untrustedKeys = KeyCodec.generate();
        return BundleSigner.of(untrustedKeys.getPrivate(), untrustedKeys.getPublic())
                .sign(document);
    }

    /** Returns the document with the signature of the bundle in force, which belongs to another document. */
    private static SignedBundle altered(DeploymentWorld world, byte[] document, long version) {
        BundleAnswer bundleInForce;
        try (ThriftConnections fetchConnections = ThriftConnections.builder().build()) {
            bundleInForce = fetchConnections
                    .to(world.entry(0).address())
                    .fetchBundle(new BundleRequest(0L))
                    .join();
        }
        return new SignedBundle(version, document, bundleInForce.getSignature(), bundleInForce.getKeyId());
    }

    @Override
    public CompletableFuture<GossipAnswer> gossip(GossipRequest request) {
        return CompletableFuture.completedFuture(new GossipAnswer(ANNOUNCED_VERSION, List.of(), List.of(), List.of()));
    }

    @Override
    public CompletableFuture<BundleAnswer> fetchBundle(BundleRequest request) {
        fetchCount.incrementAndGet();
        return CompletableFuture.completedFuture(new BundleAnswer(offeredBundle.version())
                .setDocument(ByteBuffer.wrap(offeredBundle.document()))
                .setSignature(offeredBundle.signature())
                .setKeyId(offeredBundle.keyId()));
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
