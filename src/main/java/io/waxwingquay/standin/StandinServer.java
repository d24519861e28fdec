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
 * The HTTP side that all stand-ins share: threads, faults at the door, {@code POST /faults}, {@code GET /stats}.
 */
final class StandinServer implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("waxwingquay.standin");
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
    private static final int MAX_THREADS = 400;
    private static final int MIN_THREADS = 8;
    private static final long IDLE_MILLIS = 3_600_000L;
    private static final Shared SHARED = Shared.start();

    private final Server server;
    private final ServerConnector connector;
    private final StandinTimer timer;
    private final Faults faults;
    private final Supplier<Object> stats;
    private final Function<StandinExchange, CompletableFuture<StandinReply>> service;
    private volatile boolean away;

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
        connector.setIdleTimeout(IDLE_MILLIS);
        server.addConnector(connector);
        server.setHandler(new Door());
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

    /** Closes every connection and the port for a while, as a crashed process would. */
    void goAway(long awayMicros) {
        away = true;
        SHARED.threads.execute(() -> {
            stopConnector();
            timer.schedule(awayMicros, () -> SHARED.threads.execute(this::startConnector));
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
            away = false;
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

    private final class Door extends Handler.Abstract.NonBlocking {

        /** {@inheritDoc} */
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES).whenComplete((body, failure) -> {
                if (failure != null) {
                    Response.writeError(request, response, callback, failure);
                    return;
                }
                StandinExchange exchange = new StandinExchange(request, body);
                Answering answering = new Answering(request, response, callback);
                if (!control(exchange, answering)) {
                    enter(exchange, answering);
                }
            });
            return true;
        }

        private boolean control(StandinExchange exchange, Answering answering) {
            if (exchange.is("POST", "/faults")) {
                answering.reply(StandinReply.attempt(() -> {
                    faults.apply(exchange.read(Faults.Settings.class));
                    return StandinReply.empty(StandinReply.NO_CONTENT);
                }));
                return true;
            }
            if (exchange.is("GET", "/stats")) {
                answering.reply(StandinReply.json(StandinReply.OK, stats.get()));
                return true;
            }
            return false;
        }

        private void enter(StandinExchange exchange, Answering answering) {
            if (faults.hits(Faults.Kind.SILENT)) {
                return;
            }
            if (away || faults.hits(Faults.Kind.OUT)) {
                answering.drop();
                return;
            }
            long slowMicros = faults.settings().slowMillis().orElse(0L) * 1_000L;
            if (slowMicros == 0) {
                serve(exchange, answering);
            } else {
                timer.schedule(slowMicros, () -> serve(exchange, answering));
            }
        }

        private void serve(StandinExchange exchange, Answering answering) {
            CompletableFuture<StandinReply> future;
            try {
                future = service.apply(exchange);
            } catch (RuntimeException failure) {
                future = CompletableFuture.completedFuture(StandinReply.ofFailure(failure));
            }
            future.exceptionally(StandinReply::ofFailure).thenAccept(reply -> {
                if (reply.wrote() && faults.hits(Faults.Kind.LOSE_ANSWER)) {
                    answering.drop();
                } else {
                    answering.reply(reply);
                }
            });
        }
    }

    /** One answer on its connection. */
    static final class Answering {

        private final Request request;
        private final Response response;
        private final Callback callback;

        private Answering(Request request, Response response, Callback callback) {
            this.request = request;
            this.response = response;
            this.callback = callback;
        }

        void reply(StandinReply reply) {
            if (reply.dropped()) {
                drop();
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

        /** Writes part of a stream. */
        void write(String text, Callback written) {
            response.write(false, StandardCharsets.UTF_8.encode(text), written);
        }

        void finish() {
            response.write(true, null, callback);
        }

        /** Closes the connection without an answer. */
        void drop() {
            request.getConnectionMetaData().getConnection().getEndPoint().close();
            callback.failed(new EofException("dropped"));
        }
    }

    /** Threads shared by all stand-ins of this process, so that hundreds can run in one. */
    private static final class Shared {

        private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("standin-http", true);
        private final ArrayByteBufferPool buffers = new ArrayByteBufferPool();

        private static Shared start() {
            Shared shared = new Shared();
            shared.threads.setName("standin");
            shared.threads.setDaemon(true);
            try {
                shared.threads.start();
                shared.scheduler.start();
            } catch (Exception failure) {
                throw new IllegalStateException("cannot start the stand-ins' threads", failure);
            }
            return shared;
        }
    }

    static String json(Object value) {
        try {
            return Json.MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException failure) {
            throw new IllegalArgumentException("cannot write " + value, failure);
        }
    }
}
