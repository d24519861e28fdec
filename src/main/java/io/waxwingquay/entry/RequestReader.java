package io.waxwingquay.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.common.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Parses and validates the requests of callers. An invalid one fails with a {@link CallFailure} that names the element.
 *
 * @param configuration the limits and defaults.
 */
public record RequestReader(EntryConfiguration configuration) {

    /** Name of the header with the request id. */
    public static final String REQUEST_ID_HEADER = "X-Request-Id";

    /** Name of the header with the time to the deadline in milliseconds. */
    public static final String DEADLINE_HEADER = "X-Deadline-Millis";

    /** Name of the header with the idempotency key. */
    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    private static final int MAXIMUM_ID_CHARACTERS = 200;
    private static final int PREFIX_CHARACTERS = 256;
    private static final int MAXIMUM_TOKENS = 1_000_000;
    private static final char SEPARATOR = '\u0000';

    /**
     * Parses the headers that are common to all requests.
     *
     * @param requestId the request id that the caller sent, or {@code null}.
     * @param deadline the deadline header that the caller sent, or {@code null}.
     * @param nowMillis the monotonic time of arrival.
     * @return the context.
     */
    public CallContext context(String requestId, String deadline, long nowMillis) {
        long deadlineMillis =
                deadline == null ? configuration.defaultDeadlineMillis() : parseDeadlineMillis(deadline.trim());
        return new CallContext(requestId(requestId), nowMillis, nowMillis + deadlineMillis);
    }

    /**
     * Returns the request id: the one that the caller sent, truncated to the maximum length, or else a random one.
     *
     * @param callerRequestId the request id that the caller sent, or {@code null}.
     * @return the request id.
     */
    public static String requestId(String callerRequestId) {
        return callerRequestId == null || callerRequestId.isBlank()
                ? UUID.randomUUID().toString()
                : callerRequestId.substring(0, Math.min(MAXIMUM_ID_CHARACTERS, callerRequestId.length()));
    }

    /**
     * Parses a completion.
     *
     * @param context identity and deadline.
     * @param body the body.
     * @param bundle the bundle in force.
     * @return the request.
     */
    public ModelRequest completion(CallContext context, byte[] body, Bundle bundle) {
        CompletionBody parsed = parse(body);
        require(parsed.model(), "model");
        require(parsed.prompt(), "prompt");
        Bundle.Model model = bundle.model(parsed.model())
                .orElseThrow(() -> CallFailure.rejected(
                        FailureCode.UNKNOWN_MODEL,
                        parsed.model(),
                        "no bundle names model '" + parsed.model() + "'; use a model of the bundle in force"));
        int maxTokens = parsed.maxTokens().orElseThrow(() -> missing("max_tokens"));
        if (maxTokens < 1 || maxTokens > MAXIMUM_TOKENS) {
            throw CallFailure.rejected(
                    FailureCode.BAD_VALUE, "max_tokens", "max_tokens must be between 1 and " + MAXIMUM_TOKENS);
        }
        List<String> items = new ArrayList<>(List.of(model.item()));
        parsed.adapter().ifPresent(adapter -> items.add(adapterItem(bundle, parsed.model(), adapter)));
        String target = parsed.model() + SEPARATOR + parsed.adapter().orElse("") + SEPARATOR;
        String prefix = parsed.prompt()
                .substring(0, Math.min(PREFIX_CHARACTERS, parsed.prompt().length()));
        return new ModelRequest(
                context,
                model.service(),
                parsed.model(),
                parsed.adapter(),
                List.copyOf(items),
                parsed.prompt(),
                maxTokens,
                parsed.priority().orElse(model.priority()),
                parsed.stream().orElse(false),
                hash(target + maxTokens + SEPARATOR + parsed.prompt()),
                hash(target + prefix));
    }

    /**
     * Parses a call to a plain service.
     *
     * @param context identity and deadline.
     * @param service the service named by the path.
     * @param operation the operation named by the path.
     * @param key the idempotency key, or {@code null}.
     * @param body the body.
     * @param bundle the bundle in force.
     * @return the request.
     */
    public ServiceRequest serviceCall(
            CallContext context, String service, String operation, String key, byte[] body, Bundle bundle) {
        bundle.service(service)
                .filter(found -> found.kind() == Bundle.Kind.PLAIN)
                .orElseThrow(() -> CallFailure.rejected(
                        FailureCode.UNKNOWN_SERVICE, service, "no bundle names plain service '" + service + "'"));
        Bundle.Operation declared = bundle.operation(service, operation)
                .orElseThrow(() -> CallFailure.rejected(
                        FailureCode.UNKNOWN_OPERATION,
                        operation,
                        "no bundle names operation '" + operation + "' of service '" + service + "'"));
        checkJson(body);
        Optional<String> idempotencyKey = Optional.ofNullable(key).filter(text -> !text.isBlank());
        if (declared.nonIdempotent() && idempotencyKey.isEmpty()) {
            throw CallFailure.rejected(
                    FailureCode.MISSING_IDEMPOTENCY_KEY,
                    IDEMPOTENCY_KEY_HEADER,
                    "operation '" + operation + "' runs at most once; send the header " + IDEMPOTENCY_KEY_HEADER
                            + " with a unique key, and the same key on a resend");
        }
        if (idempotencyKey.filter(text -> text.length() > MAXIMUM_ID_CHARACTERS).isPresent()) {
            throw CallFailure.rejected(
                    FailureCode.BAD_VALUE, IDEMPOTENCY_KEY_HEADER, "the key is longer than " + MAXIMUM_ID_CHARACTERS);
        }
        long fingerprint = hash(service + SEPARATOR + operation + SEPARATOR + new String(body, StandardCharsets.UTF_8));
        return new ServiceRequest(
                context, service, operation, body, idempotencyKey, declared.nonIdempotent(), fingerprint);
    }

    private long parseDeadlineMillis(String text) {
        long millis;
        try {
            millis = Long.parseLong(text);
        } catch (NumberFormatException failure) {
            throw CallFailure.rejected(
                    FailureCode.BAD_DEADLINE,
                    DEADLINE_HEADER,
                    "'" + text + "' is not a whole number of milliseconds; write for example 2000");
        }
        if (millis <= 0) {
            throw CallFailure.rejected(
                    FailureCode.DEADLINE, DEADLINE_HEADER, "the deadline has already passed; send a value above 0");
        }
        if (millis > configuration.maximumDeadlineMillis()) {
            throw CallFailure.rejected(
                    FailureCode.BAD_DEADLINE,
                    DEADLINE_HEADER,
                    "the largest value is " + configuration.maximumDeadlineMillis());
        }
        return millis;
    }

    private static CompletionBody parse(byte[] body) {
        try {
            CompletionBody parsed = Json.MAPPER.readValue(body, CompletionBody.class);
            if (parsed == null) {
                throw CallFailure.rejected(FailureCode.MALFORMED_BODY, "body", "the body must be a JSON object");
            }
            return parsed;
        } catch (UnrecognizedPropertyException failure) {
            String field = failure.getPropertyName();
            throw CallFailure.rejected(
                    FailureCode.UNKNOWN_FIELD,
                    field,
                    "field '" + field
                            + "' is unknown; remove it (known: model, adapter, prompt, max_tokens, stream, priority)");
        } catch (MismatchedInputException failure) {
            String element = failure.getPath().isEmpty()
                    ? "body"
                    : failure.getPath().get(0).getFieldName();
            throw CallFailure.rejected(FailureCode.MALFORMED_BODY, element, "'" + element + "' has the wrong type");
        } catch (JsonProcessingException failure) {
            throw CallFailure.rejected(
                    FailureCode.MALFORMED_BODY, "body", "the body is not JSON: " + failure.getOriginalMessage());
        } catch (IOException failure) {
            throw CallFailure.rejected(FailureCode.MALFORMED_BODY, "body", "the body cannot be read");
        }
    }

    private static void checkJson(byte[] body) {
        try {
            if (Json.MAPPER.readTree(body).isMissingNode()) {
                throw CallFailure.rejected(FailureCode.MALFORMED_BODY, "body", "the body is empty; send JSON");
            }
        } catch (IOException failure) {
            throw CallFailure.rejected(FailureCode.MALFORMED_BODY, "body", "the body is not JSON");
        }
    }

    private static String adapterItem(Bundle bundle, String model, String adapter) {
        return bundle.adapter(model, adapter)
                .orElseThrow(() -> CallFailure.rejected(
                        FailureCode.UNKNOWN_ADAPTER,
                        adapter,
                        "no bundle names adapter '" + adapter + "' of model '" + model + "'"))
                .item();
    }

    private static void require(String value, String field) {
        if (value == null || value.isEmpty()) {
            throw missing(field);
        }
    }

    private static CallFailure missing(String field) {
        return CallFailure.rejected(
                FailureCode.MALFORMED_BODY, field, "field '" + field + "' is missing or empty; add it");
    }

    private static long hash(String text) {
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }
}
