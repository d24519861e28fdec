package io.waxwingquay.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.fleet.StoreException;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.residency.EngineControl;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpFields;

/** Controls the engine on the same VM over HTTP. */
final class HttpEngineControl implements EngineControl {

    /** The path at which an engine states its load and its start time. */
    static final String REPORT_PATH = "/report";

    /** Timeout of calls; an engine on the same VM answers within milliseconds, and late answers are useless. */
    private static final long TIMEOUT_MILLIS = 300L;

    /**
     * Fencing token. It is constant, as the side process is the only holder that gives orders to its engine, for the
     * whole lifetime of the engine, and is still the same holder after a restart.
     */
    private static final long FENCE = 1L;

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int CONFLICT = 409;

    private final PlatformClient engine;
    private final String holder;
    private final Supplier<Optional<String>> healthPath;

    HttpEngineControl(EventLoop loop, HostPort address, String holder, Supplier<Optional<String>> healthPath) {
        this.engine = new PlatformClient(loop, address, TIMEOUT_MILLIS);
        this.holder = holder;
        this.healthPath = healthPath;
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<String> identify() {
        return healthPath
                .get()
                .map(path -> engine.get(path, 0).thenApply(HttpEngineControl::replicaId))
                .orElseGet(() -> CompletableFuture.failedFuture(
                        new StoreException("the configuration of the service has no health path")));
    }

    private static String replicaId(PlatformClient.Reply reply) {
        return Optional.ofNullable(reply.fields().get(HeaderCodec.REPLICA_ID))
                .orElseThrow(() -> new StoreException(
                        "the engine answered the health check with status " + reply.status() + " and without its id"));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<EngineReport> report() {
        return engine.get(REPORT_PATH, 0).thenApply(reply -> {
            if (reply.status() != OK) {
                throw new StoreException(
                        "the engine answered the request for its report with status " + reply.status());
            }
            try {
                return ReplicaReader.report(
                        JsonFields.readObject(reply.body()), HeaderCodec.announcesLeaving(reply.fields()));
            } catch (IOException failure) {
                throw new StoreException("the engine's report can't be parsed: " + failure);
            }
        });
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Answer> issue(Order order, Optional<String> replicaId) {
        ObjectNode body = JsonFields.MAPPER.createObjectNode();
        body.put("op", order.load() ? "load" : "unload");
        body.put("model", order.model());
        order.adapter().ifPresent(adapter -> body.put("adapter", adapter));
        body.put("precondition", order.expectedOrdersTaken());
        body.put("holder", holder);
        body.put("fence", FENCE);
        HttpFields.Mutable fields = HttpFields.build();
        replicaId.ifPresent(id -> fields.put(HeaderCodec.TARGET_REPLICA, id));
        return engine.post("/order", fields, JsonFields.write(body))
                .thenApply(reply -> answer(reply.status()))
                .exceptionally(failure -> Answer.UNKNOWN);
    }

    private static Answer answer(int status) {
        return switch (status) {
            case OK -> Answer.HOLDS;
            case ACCEPTED -> Answer.TAKEN;
            case CONFLICT -> Answer.CONFLICT;
            default -> Answer.REFUSED;
        };
    }
}
