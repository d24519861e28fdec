package io.waxwingquay.platform;

import io.waxwingquay.common.CallbackGuard;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.StoreException;
import io.waxwingquay.net.Cancellable;
import io.waxwingquay.net.ClientCall;
import io.waxwingquay.net.ClientListener;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.net.ClientRequest;
import io.waxwingquay.net.EventLoop;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;

/** An HTTP client for one server of the platform that collects complete replies. All of it runs on the loop. */
final class PlatformClient {

    /** Maximum number of connections: two for the watched tables, the others for further calls. */
    private static final int MAX_CONNECTIONS = 8;

    private final EventLoop loop;
    private final HostPort address;
    /** The most bytes of a reply, well above a page of rows; a faulty server may send a body without end. */
    private static final int MAX_REPLY_BYTES = 8 * 1024 * 1024;

    private final ClientPool pool;
    private final long timeoutMillis;

    PlatformClient(EventLoop loop, HostPort address, long timeoutMillis) {
        this.loop = loop;
        this.address = address;
        this.pool = new ClientPool(loop, address.toSocketAddress(), MAX_CONNECTIONS);
        this.timeoutMillis = timeoutMillis;
    }

    CompletableFuture<Reply> get(String target, long waitMillis) {
        HttpFields fields = HttpFields.build().put("Host", address.toString());
        return send(new ClientRequest("GET", target, fields, new byte[0], true), waitMillis);
    }

    CompletableFuture<Reply> post(String target, HttpFields extraFields, byte[] body) {
        HttpFields fields =
                HttpFields.build(extraFields).put("Host", address.toString()).put("Content-Type", "application/json");
        return send(new ClientRequest("POST", target, fields, body, false), 0);
    }

    private CompletableFuture<Reply> send(ClientRequest request, long waitMillis) {
        ReplyCollector collector = new ReplyCollector(request.target());
        ClientCall call = pool.send(request, collector);
        collector.onTooLong = call::cancel;
        // A connection on which a reply was lost will not deliver anything else, so the timeout closes it.
        Cancellable timer = loop.schedule(waitMillis + timeoutMillis, () -> {
            if (!collector.future.isDone()) {
                call.cancel();
                collector.future.completeExceptionally(
                        new StoreException(request.target() + " was not answered within " + timeoutMillis + " ms"));
            }
        });
        collector.future.whenComplete(CallbackGuard.of("call " + request.target(), (reply, failure) -> timer.cancel()));
        return collector.future;
    }

    /**
     * A complete reply.
     *
     * @param status the HTTP status.
     * @param fields the header fields.
     * @param body the body.
     */
    record Reply(int status, HttpFields fields, byte[] body) {}

    private static final class ReplyCollector implements ClientListener {

        private final CompletableFuture<Reply> future = new CompletableFuture<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final String target;
        private int status;
        private HttpFields fields = HttpFields.EMPTY;
        private Runnable onTooLong = () -> {};

        private ReplyCollector(String target) {
            this.target = target;
        }

        /** {@inheritDoc} */
        @Override
        public void onHead(int newStatus, HttpFields newFields) {
            status = newStatus;
            fields = newFields;
        }

        /** {@inheritDoc} */
        @Override
        public void onBody(ByteBuffer bytes) {
            if (body.size() + bytes.remaining() > MAX_REPLY_BYTES) {
                onTooLong.run();
                future.completeExceptionally(
                        new StoreException(target + " was answered with more than " + MAX_REPLY_BYTES + " bytes"));
                return;
            }
            byte[] part = new byte[bytes.remaining()];
            bytes.get(part);
            body.write(part, 0, part.length);
        }

        /** {@inheritDoc} */
        @Override
        public void onComplete() {
            future.complete(new Reply(status, fields, body.toByteArray()));
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(boolean mayHaveBeenSent, String reason) {
            future.completeExceptionally(new StoreException(target + " failed: " + reason));
        }
    }
}
