package io.waxwingquay.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.fleet.StoreException;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.residency.EngineControl;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;

/** The engine on the same VM. */
final class HttpEngineControl implements EngineControl {

    /** An engine on the same VM answers within milliseconds; later answers are of no use. */
    private static final long TIMEOUT_MILLIS = 300L;

    /**
     * Each engine is ordered by the one process beside it for all its life, so that numbers of holders never compete;
     * the same number after a restart is right, as it is the same holder.
     */
    private static final long FENCE = 1L;

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int CONFLICT = 409;

    private final PlatformClient engine;
    private final String holder;

    HttpEngineControl(EventLoop loop, HostPort address, String holder) {
        this.engine = new PlatformClient(loop, address, TIMEOUT_MILLIS);
        this.holder = holder;
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<EngineReport> report() {
        return engine.get("/report", 0).thenApply(reply -> {
            if (reply.status() != OK) {
                throw new StoreException("the engine answered a question with " + reply.status());
            }
            try {
                return ReplicaReader.report(Json.read(reply.body()));
            } catch (IOException failure) {
                throw new StoreException("the engine's report can't be read: " + failure);
            }
        });
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Answer> give(Order order) {
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.put("op", order.load() ? "load" : "unload");
        body.put("model", order.model());
        order.adapter().ifPresent(adapter -> body.put("adapter", adapter));
        body.put("precondition", order.afterOrders());
        body.put("holder", holder);
        body.put("fence", FENCE);
        return engine.post("/order", HttpFields.EMPTY, Json.write(body))
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
