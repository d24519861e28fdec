package io.waxwingquay.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.Json;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * The HTTP server of a stand-in. It injects the faults that are common to all stand-ins, and serves
 * {@code POST /faults} and {@code GET /stats}.
 */
final class StandinServer implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("waxwingquay.standin");
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
    private static final int MAX_THREADS = 400;
    private static final int MIN_THREADS = 8;
    private static final long IDLE_TIMEOUT_MILLIS = 3_600_000L;
    private static final SharedResources SHARED = SharedResources.start();

    private final Server server;
    private final ServerConnector connector;
    private final StandinTimer timer;
    private final Faults faults;
    private final Supplier<Object> stats;
    private final Function<StandinExchange, CompletableFuture<StandinReply>> service;
    private volatile boolean down;

    private StandinServer(
            HostPort address,
            StandinTimer timer,
            Faults faults,
            Supplier<Object> stats,
            Function<StandinExchange, CompletableFuture<StandinReply>> service) {
        this.timer = timer;
        this.faults = faults;
        this.stats = stats;
        this.service = service;
        this.server = new Server(SHARED.threads, SHARED.scheduler, SHARED.buffers);
        this.connector = new ServerConnector(server, 0, 1);
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
        server.setHandler(new FaultInjectingHandler());
    }

    static StandinServer start(
            HostPort address,
            StandinTimer timer,
            Faults faults,
            Supplier<Object> stats,
            Function<StandinExchange, CompletableFuture<StandinReply>> service) {
        StandinServer standin = new StandinServer(address, timer, faults, stats, service);
        try {
            standin.server.start();
            standin.connector.setPort(standin.connector.getLocalPort());
        } catch (Exception failure) {
            standin.close();
            throw new IllegalStateException("stand-in cannot listen on " + address, failure);
        }
        return standin;
    }

    int port() {
        return connector.getPort();
    }

    /** Closes the port and every connection, as a crashed process would, and reopens the port after the downtime. */
    void restart(long downtimeMicros) {
        down = true;
        SHARED.threads.execute(() -> {
            stopConnector();
            timer.schedule(downtimeMicros, () -> SHARED.threads.execute(this::startConnector));
        });
    }

    private synchronized void stopConnector() {
        try {
            connector.stop();
        } catch (Exception failure) {
            LOG.log(System.Logger.Level.WARNING, "standin: cannot stop port " + port() + ".", failure);
        }
    }

    private synchronized void startConnector() {
        if (!server.isRunning()) {
            return;
        }
        try {
            down = false;
            connector.start();
        } catch (Exception failure) {
            LOG.log(System.Logger.Level.WARNING, "standin: cannot reopen port " + port() + ".", failure);
        }
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void close() {
        try {
            server.stop();
        } catch (Exception failure) {
            LOG.log(System.Logger.Level.WARNING, "standin: cannot stop port " + port() + ".", failure);
        }
    }

    private final class FaultInjectingHandler extends Handler.Abstract.NonBlocking {

        /** {@inheritDoc} */
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES).whenComplete((body, failure) -> {
                if (failure != null) {
                    Response.writeError(request, response, callback, failure);
                    return;
                }
                StandinExchange exchange = new StandinExchange(request, body);
                PendingResponse pending = new PendingResponse(request, response, callback);
                if (!handleControl(exchange, pending)) {
                    serveWithFaults(exchange, pending);
                }
            });
            return true;
        }

        private boolean handleControl(StandinExchange exchange, PendingResponse pending) {
            if (exchange.matches("POST", "/faults")) {
                pending.send(StandinReply.fromSupplier(() -> {
                    faults.apply(exchange.parseBody(Faults.Settings.class));
                    return StandinReply.empty(StandinReply.NO_CONTENT);
                }));
                return true;
            }
            if (exchange.matches("GET", "/stats")) {
                pending.send(StandinReply.json(StandinReply.OK, stats.get()));
                return true;
            }
            return false;
        }

        private void serveWithFaults(StandinExchange exchange, PendingResponse pending) {
            if (faults.consume(Faults.Kind.SILENT)) {
                return;
            }
            if (down || faults.consume(Faults.Kind.OUT)) {
                pending.closeConnection();
                return;
            }
            long slowMicros = faults.settings().slowMillis().orElse(0L) * 1_000L;
            if (slowMicros == 0) {
                serve(exchange, pending);
            } else {
                timer.schedule(slowMicros, () -> serve(exchange, pending));
            }
        }

        private void serve(StandinExchange exchange, PendingResponse pending) {
            CompletableFuture<StandinReply> future;
            try {
                future = service.apply(exchange);
            } catch (RuntimeException failure) {
                future = CompletableFuture.completedFuture(StandinReply.ofFailure(failure));
            }
            future.exceptionally(StandinReply::ofFailure).thenAccept(reply -> {
                if (reply.stateChanged() && faults.consume(Faults.Kind.LOSE_ANSWER)) {
                    pending.closeConnection();
                } else {
                    pending.send(reply);
                }
            });
        }
    }

    /** The response to a request, which is still to be written to its connection. */
    static final class PendingResponse {

        private final Request request;
        private final Response response;
        private final Callback callback;

        private PendingResponse(Request request, Response response, Callback callback) {
            this.request = request;
            this.response = response;
            this.callback = callback;
        }

        void send(StandinReply reply) {
            if (reply.connectionClosed()) {
                closeConnection();
                return;
            }
            response.setStatus(reply.statusCode());
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, reply.contentType());
            if (reply.stream().isPresent()) {
                reply.stream().get().accept(this);
            } else {
                response.write(true, ByteBuffer.wrap(reply.body()), callback);
            }
        }

        /** Writes part of a streamed body. */
        void write(String text, Callback onWritten) {
            response.write(false, StandardCharsets.UTF_8.encode(text), onWritten);
        }

        void finish() {
            response.write(true, null, callback);
        }

        /** Closes the connection without completing the response. */
        void closeConnection() {
            request.getConnectionMetaData().getConnection().getEndPoint().close();
            callback.failed(new EofException("dropped"));
        }
    }

    /** The threads and buffers that all stand-ins of this process share, so that hundreds of them can run in it. */
    private static final class SharedResources {

        private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("standin-http", true);
        private final ArrayByteBufferPool buffers = new ArrayByteBufferPool();

        private static SharedResources start() {
            SharedResources shared = new SharedResources();
            shared.threads.setName("standin");
            shared.threads.setDaemon(true);
            try {
                shared.threads.start();
                shared.scheduler.start();
            } catch (Exception failure) {
                throw new IllegalStateException("cannot start the threads shared by the stand-ins", failure);
            }
            return shared;
        }
    }

    static String json(Object value) {
        try {
            return Json.MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException failure) {
            throw new IllegalArgumentException("cannot serialize " + value, failure);
        }
    }
}
