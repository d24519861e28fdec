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
 * Handles the HTTP requests of callers. It is non-blocking: no thread is occupied while a request waits.
 */
final class CallerHandler extends Handler.Abstract.NonBlocking {

    private static final System.Logger LOG = System.getLogger("waxwingquay.entry");
    private static final String COMPLETIONS_PATH = "/v1/completions";
    private static final Pattern SERVICE_PATH = Pattern.compile("/v1/services/([^/]+)/([^/]+)");

    private final EntryComponents components;
    private final BundleSource bundles;
    private final DrainGate gate;
    private final Readiness readiness;
    private final ModelDispatcher modelDispatcher;
    private final ServiceDispatcher serviceDispatcher;
    private final RequestReader reader;

    CallerHandler(
            EntryComponents components,
            BundleSource bundles,
            DrainGate gate,
            Readiness readiness,
            ModelDispatcher modelDispatcher,
            ServiceDispatcher serviceDispatcher) {
        this.components = components;
        this.bundles = bundles;
        this.gate = gate;
        this.readiness = readiness;
        this.modelDispatcher = modelDispatcher;
        this.serviceDispatcher = serviceDispatcher;
        this.reader = new RequestReader(components.configuration());
    }

    /** {@inheritDoc} */
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (path.equals("/healthz")) {
            answerProbe(response, callback, true, "ok");
        } else if (path.equals("/readyz")) {
            boolean ready = readiness.notReadyReason().isEmpty();
            answerProbe(response, callback, ready, ready ? "ready" : "not ready");
        } else {
            startExchange(path, request, response, callback);
        }
        return true;
    }

    private static void answerProbe(Response response, Callback callback, boolean isHealthy, String text) {
        int status = isHealthy ? 200 : FailureCode.NOT_READY.httpStatus();
        HttpAnswerWriter.write(response, callback, status, "text/plain", text.getBytes(StandardCharsets.US_ASCII));
    }

    private void startExchange(String path, Request request, Response response, Callback callback) {
        String requestId = RequestReader.requestId(request.getHeaders().get(RequestReader.REQUEST_ID_HEADER));
        response.getHeaders().put(RequestReader.REQUEST_ID_HEADER, requestId);
        Exchange exchange = new Exchange(path, requestId, request, response, callback);
        if (!gate.tryEnter()) {
            exchange.fail(components.withRetryAfter(CallFailure.rejected(
                    FailureCode.DRAINING, "entry", "this entry process is shutting down; use another entry")));
            return;
        }
        Request.addCompletionListener(request, failure -> {
            exchange.callerGone.set(true);
            gate.leave();
        });
        request.addFailureListener(failure -> exchange.callerGone.set(true));
        exchange.start();
    }

    /** State of one request in this process. */
    private final class Exchange {

        private final String path;
        private final String requestId;
        private final Request request;
        private final Response response;
        private final Callback callback;
        private final AtomicBoolean callerGone = new AtomicBoolean();
        private final String kind;
        private CallContext context;

        private Exchange(String path, String requestId, Request request, Response response, Callback callback) {
            this.path = path;
            this.requestId = requestId;
            this.request = request;
            this.response = response;
            this.callback = callback;
            this.kind = path.equals(COMPLETIONS_PATH) ? "model" : "service";
        }

        private void start() {
            try {
                Matcher servicePath = SERVICE_PATH.matcher(path);
                if (!path.equals(COMPLETIONS_PATH) && !servicePath.matches()) {
                    throw CallFailure.rejected(
                            FailureCode.UNKNOWN_PATH,
                            path,
                            "no such path; known paths are " + COMPLETIONS_PATH
                                    + " and /v1/services/{service}/{operation}");
                }
                if (!HttpMethod.POST.is(request.getMethod())) {
                    throw CallFailure.rejected(FailureCode.WRONG_METHOD, request.getMethod(), "use POST");
                }
                String deadline = request.getHeaders().get(RequestReader.DEADLINE_HEADER);
                context = reader.context(requestId, deadline, components.clock().monotonicMillis());
                Bundle bundle = bundles.current()
                        .orElseThrow(() -> components.withRetryAfter(CallFailure.rejected(
                                FailureCode.NOT_READY, "bundle", "no bundle has been verified yet")));
                readBody().whenComplete((body, failure) -> onBody(servicePath, bundle, body, failure));
            } catch (RuntimeException failure) {
                fail(CallFailure.from(failure));
            }
        }

        private CompletableFuture<byte[]> readBody() {
            int maximumBytes = components.configuration().maximumBodyBytes();
            if (request.getLength() > maximumBytes) {
                return CompletableFuture.failedFuture(tooLarge(maximumBytes));
            }
            return Content.Source.asByteArrayAsync(request, maximumBytes);
        }

        private void onBody(Matcher servicePath, Bundle bundle, byte[] body, Throwable failure) {
            try {
                if (failure != null) {
                    throw bodyFailure(failure);
                }
                if (servicePath.matches()) {
                    answerServiceCall(reader.serviceCall(
                            context,
                            servicePath.group(1),
                            servicePath.group(2),
                            request.getHeaders().get(RequestReader.IDEMPOTENCY_KEY_HEADER),
                            body,
                            bundle));
                } else {
                    answerCompletion(reader.completion(context, body, bundle));
                }
            } catch (RuntimeException rejected) {
                fail(CallFailure.from(rejected));
            }
        }

        private void answerServiceCall(ServiceRequest call) {
            serviceDispatcher.answer(call, callerGone::get).whenComplete((answer, failure) -> {
                if (failure != null) {
                    fail(CallFailure.from(failure));
                    return;
                }
                response.getHeaders().put("Idempotency-Replayed", Boolean.toString(answer.replayed()));
                recordAnswered();
                HttpAnswerWriter.write(response, callback, answer.status(), answer.contentType(), answer.body());
            });
        }

        private void answerCompletion(ModelRequest call) {
            if (call.stream()) {
                streamCompletion(call);
                return;
            }
            AnswerSink.Buffered sink = new AnswerSink.Buffered(callerGone::get);
            modelDispatcher.answer(call, sink).whenComplete((result, failure) -> {
                if (failure != null) {
                    fail(CallFailure.from(failure));
                    return;
                }
                recordAnswered();
                String text = new String(sink.bytes(), StandardCharsets.UTF_8);
                byte[] body =
                        CallerMessages.completion(call, text, result.units()).getBytes(StandardCharsets.UTF_8);
                HttpAnswerWriter.write(response, callback, 200, HttpAnswerWriter.JSON, body);
            });
        }

        private void streamCompletion(ModelRequest call) {
            BooleanSupplier abandoned = callerGone::get;
            EventStreamSink events = new EventStreamSink(call, response, abandoned, this::recordFirstToken);
            modelDispatcher.answer(call, events).whenComplete((result, failure) -> {
                if (failure != null) {
                    CallFailure reported = CallFailure.from(failure);
                    recordFailed(reported);
                    events.fail(reported, callback);
                } else {
                    recordAnswered();
                    events.complete(callback);
                }
            });
        }

        private void recordFirstToken() {
            components.metrics().firstToken(components.clock().monotonicMillis() - context.arrivedAtMillis());
        }

        private void recordAnswered() {
            LOG.log(System.Logger.Level.DEBUG, () -> "entry: request " + requestId + " was answered.");
            components.metrics().answered(kind, components.remainingMillis(context.deadlineAtMillis()) >= 0);
        }

        private void recordFailed(CallFailure failure) {
            components.metrics().failed(kind, failure);
            LOG.log(
                    System.Logger.Level.INFO,
                    () -> "entry: request " + requestId + " failed, "
                            + failure.code().code() + ", " + failure.execution() + ".");
        }

        private void fail(CallFailure failure) {
            recordFailed(failure);
            HttpAnswerWriter.write(response, callback, failure);
        }

        private CallFailure bodyFailure(Throwable failure) {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            if (cause instanceof CallFailure known) {
                return known;
            }
            boolean isTooLarge = Optional.ofNullable(cause.getMessage())
                    .filter(text -> cause instanceof IllegalStateException)
                    .isPresent();
            return isTooLarge
                    ? tooLarge(components.configuration().maximumBodyBytes())
                    : CallFailure.of(FailureCode.CALLER_GONE, "body", "the body ended early", Execution.DID_NOT_RUN);
        }

        private static CallFailure tooLarge(int maximumBytes) {
            return CallFailure.rejected(
                    FailureCode.BODY_TOO_LARGE,
                    "body",
                    "the body is larger than " + maximumBytes + " bytes; send less");
        }
    }
}
