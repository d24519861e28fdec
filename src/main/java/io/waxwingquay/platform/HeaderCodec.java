package io.waxwingquay.platform;

import io.waxwingquay.forward.MessageCodec;
import io.waxwingquay.net.MessageHead;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpFields;

/** The platform's header fields. */
public final class HeaderCodec implements MessageCodec {

    /** One attempt of a client; a repeat by this system keeps it. */
    private static final String ATTEMPT_ID = "Attempt-Id";

    /** Milliseconds, from when the message is sent; not an instant. */
    private static final String DEADLINE_REMAINING = "Deadline-Remaining";

    /** MODEL or MODEL/ADAPTER. */
    private static final String MODEL = "Model";

    /** Tokens of the prompt, then the most tokens to generate. */
    private static final String TOKEN_COUNTS = "Token-Counts";

    /** ID:TOKENS pairs in order; the last is the request's own or its session's, the others are shared. */
    private static final String PROMPT_PREFIX = "Prompt-Prefix";

    private static final String LAST_EVENT_ID = "Last-Event-Id";
    private static final String TARGET_REPLICA = "Target-Replica";
    private static final String REQUEST_PRIORITY = "Request-Priority";

    /** Who answered; on a misdirected request this is the replica that has the address now. */
    private static final String REPLICA_ID = "Replica-Id";

    /** Present, whatever its value, when the replica promises that the request has not run. */
    private static final String NOT_EXECUTED = "Not-Executed";

    /** Requests a second, a decimal number, from all machines together; not a limit on connections or on load. */
    private static final String SERVER_LIMIT = "Server-Limit";

    private static final String RETRY_AFTER = "Retry-After";

    /** Fields that are the system's to set; one that a client sent must not reach a replica. */
    private static final List<String> RESERVED = List.of(
            TARGET_REPLICA,
            REQUEST_PRIORITY,
            DEADLINE_REMAINING,
            LAST_EVENT_ID,
            "Expect-Version",
            "Hold",
            "Pin-Duration",
            "Kv-Backup",
            "Kv-From",
            "Kv-Fetch");

    /** Those that a client sends alike with each attempt at one request. */
    private static final List<String> IDENTITY = List.of("Host", MODEL, PROMPT_PREFIX);

    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_MANY = 429;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final Pattern COMMA = Pattern.compile(",");

    /** {@inheritDoc} */
    @Override
    public RequestHead readRequest(HttpFields fields) {
        String model = fields.get(MODEL);
        int slash = model == null ? -1 : model.indexOf('/');
        Optional<String> name = Optional.ofNullable(model).map(text -> slash < 0 ? text : text.substring(0, slash));
        Optional<String> adapter = slash < 0 ? Optional.empty() : Optional.of(model.substring(slash + 1));
        String[] tokens =
                COMMA.split(Optional.ofNullable(fields.get(TOKEN_COUNTS)).orElse(""));
        String prefix = Optional.ofNullable(fields.get(PROMPT_PREFIX)).orElse("");
        return new RequestHead(
                Optional.ofNullable(fields.get(ATTEMPT_ID)).orElse(""),
                whole(fields.get(DEADLINE_REMAINING)),
                name,
                adapter,
                whole(tokens[0]).orElse(0L),
                tokens.length > 1 ? whole(tokens[1]).orElse(0L) : 0L,
                prefix.indexOf(',') < 0 ? "" : prefix.substring(0, prefix.lastIndexOf(',')),
                whole(fields.get(LAST_EVENT_ID)));
    }

    /** {@inheritDoc} */
    @Override
    public HttpFields requestFields(HttpFields fields, ForwardedHead order) {
        HttpFields.Mutable out = MessageHead.endToEnd(fields);
        RESERVED.forEach(out::remove);
        out.put(TARGET_REPLICA, order.replicaId());
        out.put(DEADLINE_REMAINING, Long.toString(order.remainingMillis()));
        order.priority().ifPresent(rank -> out.put(REQUEST_PRIORITY, Integer.toString(rank)));
        order.lastEventId().ifPresent(id -> out.put(LAST_EVENT_ID, Long.toString(id)));
        return out;
    }

    /** {@inheritDoc} */
    @Override
    public ResponseHead readResponse(int status, HttpFields fields) {
        boolean notExecuted = fields.contains(NOT_EXECUTED);
        boolean misdirected = status == MISDIRECTED;
        boolean full = notExecuted && (status == UNAVAILABLE || status == TOO_MANY);
        String id = Optional.ofNullable(fields.get(ATTEMPT_ID)).orElse("");
        return new ResponseHead(
                id,
                notExecuted || misdirected,
                misdirected,
                full,
                Optional.ofNullable(fields.get(REPLICA_ID)),
                decimal(fields.get(SERVER_LIMIT)));
    }

    /** {@inheritDoc} */
    @Override
    public List<String> identityFields(HttpFields fields) {
        return IDENTITY.stream()
                .map(name -> Optional.ofNullable(fields.get(name)).orElse(""))
                .toList();
    }

    /** {@inheritDoc} */
    @Override
    public HttpFields refusalFields(Optional<Long> comeBackMillis) {
        HttpFields.Mutable fields = HttpFields.build();
        comeBackMillis.ifPresent(
                millis -> fields.put(RETRY_AFTER, String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND)));
        return fields;
    }

    /** What is no number, or less than none, names no limit. */
    private static OptionalDouble decimal(String text) {
        if (text == null || text.isBlank()) {
            return OptionalDouble.empty();
        }
        try {
            double number = Double.parseDouble(text.trim());
            return number >= 0 && Double.isFinite(number) ? OptionalDouble.of(number) : OptionalDouble.empty();
        } catch (NumberFormatException failure) {
            return OptionalDouble.empty();
        }
    }

    private static Optional<Long> whole(String text) {
        if (text == null || text.isBlank()) {
            return Optional.empty();
        }
        try {
            return Optional.of(Long.parseLong(text.trim()));
        } catch (NumberFormatException failure) {
            // What can't be read is treated as not said; the replica sees the caller's own text.
            return Optional.empty();
        }
    }
}
