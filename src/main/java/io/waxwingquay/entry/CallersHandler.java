package io.waxwingquay.entry;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.BundleSource;
import io.waxwingquay.common.DrainGate;
import io.waxwingquay.transport.generated.Execution;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * The callers' HTTP. No thread is held while a request waits.
 */
final class CallersHandler extends Handler.Abstract.NonBlocking {

    private static final System.Logger LOG = System.getLogger("waxwingquay.entry");
    private static final String COMPLETIONS = "/v1/completions";
    private static final Pattern SERVICES = Pattern.compile("/v1/services/([^/]+)/([^/]+)");

    private final EntryParts parts;
    private final BundleSource bundles;
    private final DrainGate gate;
    private final ModelFlow models;
    private final ServiceFlow services;
    private final RequestReader reader;

    CallersHandler(EntryParts parts, BundleSource bundles, DrainGate gate, ModelFlow models, ServiceFlow services) {
        this.parts = parts;
        this.bundles = bundles;
        this.gate = gate;
        this.models = models;
        this.services = services;
        this.reader = new RequestReader(parts.settings());
    }

    /** {@inheritDoc} */
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (path.equals("/healthz")) {
            probe(response, callback, true, "ok");
        } else if (path.equals("/readyz")) {
            boolean ready = !gate.isClosed() && bundles.current().isPresent();
            probe(response, callback, ready, ready ? "ready" : "not ready");
        } else {
            call(path, request, response, callback);
        }
        return true;
    }

    private static void probe(Response response, Callback callback, boolean good, String word) {
        int status = good ? 200 : FailureCode.NOT_READY.httpStatus();
        HttpAnswer.write(response, callback, status, "text/plain", word.getBytes(StandardCharsets.US_ASCII));
    }

    private void call(String path, Request request, Response response, Callback callback) {
        String requestId = RequestReader.requestId(request.getHeaders().get(RequestReader.REQUEST_ID_HEADER));
        response.getHeaders().put(RequestReader.REQUEST_ID_HEADER, requestId);
        Exchange exchange = new Exchange(path, requestId, request, response, callback);
        if (!gate.tryEnter()) {
            exchange.fail(parts.withComeBack(CallFailure.rejected(
                    FailureCode.DRAINING, "entry", "this entry process is shutting down; ask another")));
            return;
        }
        Request.addCompletionListener(request, failure -> {
            exchange.gone.set(true);
            gate.leave();
        });
        request.addFailureListener(failure -> exchange.gone.set(true));
        exchange.start();
    }

    /** One request on its way through this process. */
    private final class Exchange {

        private final String path;
        private final String requestId;
        private final Request request;
        private final Response response;
        private final Callback callback;
        private final AtomicBoolean gone = new AtomicBoolean();
        private final String kind;
        private CallContext context;

        private Exchange(String path, String requestId, Request request, Response response, Callback callback) {
            this.path = path;
            this.requestId = requestId;
            this.request = request;
            this.response = response;
            this.callback = callback;
            this.kind = path.equals(COMPLETIONS) ? "model" : "service";
        }

        private void start() {
            try {
                Matcher service = SERVICES.matcher(path);
                if (!path.equals(COMPLETIONS) && !service.matches()) {
                    throw CallFailure.rejected(
                            FailureCode.UNKNOWN_PATH,
                            path,
                            "no such path; there are " + COMPLETIONS + " and /v1/services/{service}/{operation}");
                }
                if (!HttpMethod.POST.is(request.getMethod())) {
                    throw CallFailure.rejected(FailureCode.WRONG_METHOD, request.getMethod(), "use POST");
                }
                String budget = request.getHeaders().get(RequestReader.DEADLINE_HEADER);
                context = reader.context(requestId, budget, parts.clock().monotonicMillis());
                Bundle bundle = bundles.current()
                        .orElseThrow(() -> parts.withComeBack(CallFailure.rejected(
                                FailureCode.NOT_READY, "bundle", "no bundle has been verified yet")));
                readBody().whenComplete((body, failure) -> onBody(service, bundle, body, failure));
            } catch (RuntimeException failure) {
                fail(CallFailure.from(failure));
            }
        }

        private CompletableFuture<byte[]> readBody() {
            int limitBytes = parts.settings().maximumBodyBytes();
            if (request.getLength() > limitBytes) {
                return CompletableFuture.failedFuture(tooLarge(limitBytes));
            }
            return Content.Source.asByteArrayAsync(request, limitBytes);
        }

        private void onBody(Matcher service, Bundle bundle, byte[] body, Throwable failure) {
            try {
                if (failure != null) {
                    throw bodyFailure(failure);
                }
                if (service.matches()) {
                    serve(reader.serviceCall(
                            context,
                            service.group(1),
                            service.group(2),
                            request.getHeaders().get(RequestReader.IDEMPOTENCY_KEY_HEADER),
                            body,
                            bundle));
                } else {
                    complete(reader.completion(context, body, bundle));
                }
            } catch (RuntimeException refused) {
                fail(CallFailure.from(refused));
            }
        }

        private void serve(ServiceRequest call) {
            services.answer(call, gone::get).whenComplete((answer, failure) -> {
                if (failure != null) {
                    fail(CallFailure.from(failure));
                    return;
                }
                response.getHeaders().put("Idempotency-Replayed", Boolean.toString(answer.replayed()));
                answered();
                HttpAnswer.write(response, callback, answer.status(), answer.contentType(), answer.body());
            });
        }

        private void complete(ModelRequest call) {
            if (call.stream()) {
                stream(call);
                return;
            }
            AnswerSink.Buffered sink = new AnswerSink.Buffered(gone::get);
            models.answer(call, sink).whenComplete((end, failure) -> {
                if (failure != null) {
                    fail(CallFailure.from(failure));
                    return;
                }
                answered();
                String text = new String(sink.bytes(), StandardCharsets.UTF_8);
                byte[] body = CallerMessages.completion(call, text, end.units()).getBytes(StandardCharsets.UTF_8);
                HttpAnswer.write(response, callback, 200, HttpAnswer.JSON, body);
            });
        }

        private void stream(ModelRequest call) {
            BooleanSupplier abandoned = gone::get;
            EventStream events = new EventStream(call, response, abandoned, this::firstToken);
            models.answer(call, events).whenComplete((end, failure) -> {
                if (failure != null) {
                    CallFailure told = CallFailure.from(failure);
                    noteFailed(told);
                    events.fail(told, callback);
                } else {
                    answered();
                    events.complete(callback);
                }
            });
        }

        private void firstToken() {
            parts.metrics().firstToken(parts.clock().monotonicMillis() - context.arrivedAtMillis());
        }

        private void answered() {
            LOG.log(System.Logger.Level.DEBUG, () -> "entry: request " + requestId + " was answered.");
            parts.metrics().answered(kind, parts.remainingMillis(context.deadlineAtMillis()) >= 0);
        }

        private void noteFailed(CallFailure failure) {
            parts.metrics().failed(kind, failure);
            LOG.log(
                    System.Logger.Level.INFO,
                    () -> "entry: request " + requestId + " failed, "
                            + failure.code().code() + ", " + failure.execution() + ".");
        }

        private void fail(CallFailure failure) {
            noteFailed(failure);
            HttpAnswer.write(response, callback, failure);
        }

        private CallFailure bodyFailure(Throwable failure) {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            if (cause instanceof CallFailure known) {
                return known;
            }
            boolean large = Optional.ofNullable(cause.getMessage())
                    .filter(text -> cause instanceof IllegalStateException)
                    .isPresent();
            return large
                    ? tooLarge(parts.settings().maximumBodyBytes())
                    : CallFailure.of(FailureCode.CALLER_GONE, "body", "the body broke off", Execution.DID_NOT_RUN);
        }

        private static CallFailure tooLarge(int limitBytes) {
            return CallFailure.rejected(
                    FailureCode.BODY_TOO_LARGE, "body", "the body is larger than " + limitBytes + " bytes; send less");
        }
    }
}
