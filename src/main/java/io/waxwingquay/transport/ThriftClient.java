package io.waxwingquay.transport;

import io.waxwingquay.common.HostPort;
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
import io.waxwingquay.transport.generated.SideService;
import io.waxwingquay.transport.generated.Submission;
import io.waxwingquay.transport.generated.SubmitAnswer;
import io.waxwingquay.transport.generated.SuspectNotice;
import java.io.IOException;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.thrift.TException;
import org.apache.thrift.async.AsyncMethodCallback;
import org.apache.thrift.async.TAsyncClientManager;
import org.apache.thrift.protocol.TCompactProtocol;

/**
 * The client of one process. A Thrift connection carries one call at a time, so idle connections are pooled.
 */
final class ThriftClient implements SideProtocol, AutoCloseable {

    private final HostPort address;
    private final TAsyncClientManager manager;
    private final ThriftConnections.Settings settings;
    private final Deque<Connection> idleConnections = new ConcurrentLinkedDeque<>();
    private final AtomicLong generation = new AtomicLong();

    ThriftClient(HostPort address, TAsyncClientManager manager, ThriftConnections.Settings settings) {
        this.address = address;
        this.manager = manager;
        this.settings = settings;
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<GossipAnswer> gossip(GossipRequest request) {
        return call("gossip", 0L, (client, callback) -> client.gossip(request, callback));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<BundleAnswer> fetchBundle(BundleRequest request) {
        return call("fetchBundle", 0L, (client, callback) -> client.fetchBundle(request, callback));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> noteSuspects(SuspectNotice notice) {
        return call("noteSuspects", 0L, (client, callback) -> client.noteSuspects(notice, callback));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<PermitAnswer> borrowPermit(PermitRequest request) {
        return call("borrowPermit", 0L, (client, callback) -> client.borrowPermit(request, callback));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> returnPermit(PermitReturn request) {
        return call("returnPermit", 0L, (client, callback) -> client.returnPermit(request, callback));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> ping() {
        return call("ping", 0L, SideService.AsyncClient::ping);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<SubmitAnswer> submit(Submission submission) {
        return call("submit", 0L, (client, callback) -> client.submit(submission, callback));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<PollAnswer> poll(PollRequest request) {
        return call("poll", request.getWaitMillis(), (client, callback) -> client.poll(request, callback));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Boolean> cancel(String attemptId) {
        return call("cancel", 0L, (client, callback) -> client.cancel(attemptId, callback));
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<ResolveAnswer> resolve(ResolveRequest request) {
        return call("resolve", 0L, (client, callback) -> client.resolve(request, callback));
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        closeIdleConnections();
    }

    private <T> CompletableFuture<T> call(String method, long waitMillis, Invocation<T> invocation) {
        CompletableFuture<T> result = new CompletableFuture<>();
        try {
            Connection connection = acquire();
            connection.client.setTimeout(timeoutMillis(waitMillis));
            invocation.start(connection.client, new Callback<>(method, connection, result));
        } catch (IOException | TException failure) {
            result.completeExceptionally(
                    new TransportException(false, "cannot start " + method + " to " + address, failure));
        }
        return result;
    }

    private long timeoutMillis(long waitMillis) {
        return waitMillis > 0L ? waitMillis + settings.graceMillis() : settings.callTimeoutMillis();
    }

    private Connection acquire() throws IOException, TException {
        Connection connection = idleConnections.pollFirst();
        return connection != null ? connection : new Connection(generation.get());
    }

    private void release(Connection connection) {
        if (connection.generation == generation.get() && idleConnections.size() < settings.idleLimit()) {
            idleConnections.addFirst(connection);
        } else {
            connection.socket.close();
        }
    }

    /**
     * Closes every idle connection, after a call on one connection timed out.
     *
     * <p>Failure: a device between the two ends loses its state of open connections while new connections work.
     * Symptom: one call after another on the old connections runs into its timeout. Once one connection is
     * unresponsive, idle connections are closed and those in use are not returned to the pool, so the next call opens a
     * new one.
     */
    private void closeIdleConnections() {
        generation.incrementAndGet();
        Connection connection = idleConnections.pollFirst();
        while (connection != null) {
            connection.socket.close();
            connection = idleConnections.pollFirst();
        }
    }

    /**
     * Starts one call on a client.
     *
     * @param <T> the type of the answer.
     */
    @FunctionalInterface
    private interface Invocation<T> {

        void start(SideService.AsyncClient client, AsyncMethodCallback<T> callback) throws TException;
    }

    private final class Connection {

        private final CountingSocket socket;
        private final SideService.AsyncClient client;
        private final long generation;

        private Connection(long generation) throws IOException, TException {
            this.socket = new CountingSocket(address.host(), address.port());
            this.client = new SideService.AsyncClient(new TCompactProtocol.Factory(), manager, socket);
            this.generation = generation;
        }
    }

    private final class Callback<T> implements AsyncMethodCallback<T> {

        private final String method;
        private final Connection connection;
        private final CompletableFuture<T> result;
        private final long writtenBytesBefore;
        private final long readBytesBefore;

        private Callback(String method, Connection connection, CompletableFuture<T> result) {
            this.method = method;
            this.connection = connection;
            this.result = result;
            this.writtenBytesBefore = connection.socket.writtenBytes();
            this.readBytesBefore = connection.socket.readBytes();
        }

        /** {@inheritDoc} */
        @Override
        public void onComplete(T answer) {
            observe();
            release(connection);
            settings.executor().execute(() -> result.complete(answer));
        }

        /** {@inheritDoc} */
        @Override
        public void onError(Exception failure) {
            observe();
            boolean maybeDelivered = connection.socket.writtenBytes() > writtenBytesBefore;
            connection.socket.close();
            if (failure instanceof TimeoutException) {
                closeIdleConnections();
            }
            TransportException converted =
                    new TransportException(maybeDelivered, method + " to " + address + " got no answer", failure);
            settings.executor().execute(() -> result.completeExceptionally(converted));
        }

        private void observe() {
            settings.observer()
                    .observe(
                            method,
                            connection.socket.writtenBytes() - writtenBytesBefore,
                            connection.socket.readBytes() - readBytesBefore);
        }
    }
}
