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
 * Answers operators' requests.
 */
final class AdminHandler extends Handler.Abstract {

    private static final System.Logger LOG = System.getLogger("waxwingquay.observe");
    private static final String TEXT = "text/plain;charset=utf-8";
    private static final String JSON = "application/json";

    private final PrometheusMeterRegistry registry;
    private final StateDump dump;
    private final Supplier<Optional<String>> notReady;
    private final Runnable drain;
    private final AtomicBoolean draining = new AtomicBoolean();

    AdminHandler(
            PrometheusMeterRegistry registry, StateDump dump, Supplier<Optional<String>> notReady, Runnable drain) {
        this.registry = registry;
        this.dump = dump;
        this.notReady = notReady;
        this.drain = drain;
    }

    /** {@inheritDoc} */
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Answer answer = answer(Request.getPathInContext(request), request.getMethod());
        response.setStatus(answer.status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.contentType());
        Callback whenSent = answer.startsDrain() ? Callback.from(callback, this::startDrain) : callback;
        Content.Sink.write(response, true, answer.body(), whenSent);
        return true;
    }

    private Answer answer(String path, String method) {
        String wanted = "/shutdown".equals(path) ? "POST" : "GET";
        if (!wanted.equals(method)) {
            return Answer.text(HttpStatus.METHOD_NOT_ALLOWED_405, path + " takes " + wanted);
        }
        return switch (path) {
            case "/metrics" -> Answer.text(HttpStatus.OK_200, registry.scrape());
            case "/dump" -> new Answer(HttpStatus.OK_200, JSON, dump.toJson(), false);
            case "/healthz" -> Answer.text(HttpStatus.OK_200, "alive\n");
            case "/readyz" -> readiness();
            case "/shutdown" -> shutdown();
            default -> Answer.text(HttpStatus.NOT_FOUND_404, "no such page: " + path + "\n");
        };
    }

    private Answer readiness() {
        return notReady.get()
                .map(reason -> Answer.text(HttpStatus.SERVICE_UNAVAILABLE_503, "not ready: " + reason + "\n"))
                .orElseGet(() -> Answer.text(HttpStatus.OK_200, "ready\n"));
    }

    private Answer shutdown() {
        return Answer.text(HttpStatus.ACCEPTED_202, "draining\n").startingDrain();
    }

    /**
     * Failure: a process with nothing under way drains and closes while the operator's answer is being written. Symptom: the
     * connection ends without an answer. So the drain begins when the answer has left, or its connection has failed.
     */
    private void startDrain() {
        if (draining.compareAndSet(false, true)) {
            LOG.log(System.Logger.Level.INFO, "observe: an operator asked for a drain.");
            new Thread(drain, "drain").start();
        }
    }

    private record Answer(int status, String contentType, String body, boolean startsDrain) {

        static Answer text(int status, String body) {
            return new Answer(status, TEXT, body, false);
        }

        Answer startingDrain() {
            return new Answer(status, contentType, body, true);
        }
    }
}
