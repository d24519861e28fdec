package io.waxwingquay.observe;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Handles the requests of operators.
 */
final class AdminHandler extends Handler.Abstract {

    private static final System.Logger LOG = System.getLogger("waxwingquay.observe");
    private static final String TEXT = "text/plain;charset=utf-8";
    private static final String JSON = "application/json";

    private final PrometheusMeterRegistry registry;
    private final StateDump dump;
    private final Supplier<Optional<String>> notReadyReason;
    private final Runnable drain;
    private final AtomicBoolean draining = new AtomicBoolean();

    AdminHandler(
            PrometheusMeterRegistry registry, StateDump dump, Supplier<Optional<String>> notReady, Runnable drain) {
        this.registry = registry;
        this.dump = dump;
        this.notReadyReason = notReady;
        this.drain = drain;
    }

    /** {@inheritDoc} */
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Reply reply = reply(Request.getPathInContext(request), request.getMethod());
        response.setStatus(reply.status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, reply.contentType());
        Callback whenSent = reply.startsDrain() ? Callback.from(callback, this::startDrain) : callback;
        Content.Sink.write(response, true, reply.body(), whenSent);
        return true;
    }

    private Reply reply(String path, String method) {
        String allowedMethod = "/shutdown".equals(path) ? "POST" : "GET";
        if (!allowedMethod.equals(method)) {
            return Reply.text(HttpStatus.METHOD_NOT_ALLOWED_405, path + " takes " + allowedMethod);
        }
        return switch (path) {
            case "/metrics" -> Reply.text(HttpStatus.OK_200, registry.scrape());
            case "/dump" -> new Reply(HttpStatus.OK_200, JSON, dump.toJson(), false);
            case "/healthz" -> Reply.text(HttpStatus.OK_200, "alive\n");
            case "/readyz" -> readiness();
            case "/shutdown" -> shutdown();
            default -> Reply.text(HttpStatus.NOT_FOUND_404, "no such page: " + path + "\n");
        };
    }

    private Reply readiness() {
        return notReadyReason
                .get()
                .map(reason -> Reply.text(HttpStatus.SERVICE_UNAVAILABLE_503, "not ready: " + reason + "\n"))
                .orElseGet(() -> Reply.text(HttpStatus.OK_200, "ready\n"));
    }

    private Reply shutdown() {
        return Reply.text(HttpStatus.ACCEPTED_202, "draining\n").withDrain();
    }

    /**
     * Starts the drain once. It begins only after the reply was written or its connection failed: an idle process
     * drains and closes at once, and the operator's connection would otherwise end without a reply.
     */
    private void startDrain() {
        if (draining.compareAndSet(false, true)) {
            LOG.log(System.Logger.Level.INFO, "observe: an operator asked for a drain.");
            new Thread(drain, "drain").start();
        }
    }

    private record Reply(int status, String contentType, String body, boolean startsDrain) {

        static Reply text(int status, String body) {
            return new Reply(status, TEXT, body, false);
        }

        Reply withDrain() {
            return new Reply(status, contentType, body, true);
        }
    }
}
