package io.waxwingquay.platform;

import io.waxwingquay.account.AccessKey;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.forward.MessageCodec;
import io.waxwingquay.net.ClientRequest;
import io.waxwingquay.net.MessageHead;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpFields;

/** Reads and writes the platform's header fields. */
public final class HeaderCodec implements MessageCodec {

    /** Id of one attempt of a client; a retry by this system keeps it. */
    private static final String ATTEMPT_ID = "Attempt-Id";

    /** Remaining time in milliseconds, counted from the sending of the message; not an instant. */
    private static final String DEADLINE_REMAINING = "Deadline-Remaining";

    /** Requested model, as MODEL or MODEL/ADAPTER. */
    private static final String MODEL = "Model";

    /** Number of prompt tokens and maximum number of tokens to generate, separated by a comma. */
    private static final String TOKEN_COUNTS = "Token-Counts";

    /** Number of tokens that a client expects to be generated; neither a limit nor a promise. */
    private static final String LENGTH_HINT = "Length-Hint";

    /**
     * Prompt parts as ID:TOKENS pairs in order; the last belongs to the request or its session, the others are
     * shared.
     */
    private static final String PROMPT_PREFIX = "Prompt-Prefix";

    /** The secret of a client account, and nothing else; it reaches no replica. */
    private static final String KEY = "Key";

    /** Name of the client account, set by this system whatever a client sent. */
    private static final String TENANT = "Tenant";

    /** Message authentication code of a replica over its answer; a success without it counts for nothing. */
    private static final String SERVER_SEAL = "Server-Seal";

    private static final String LAST_EVENT_ID = "Last-Event-Id";

    /** Id of the client's attempt that brought the first event of the stream that the request resumes. */
    private static final String RESUMES = "Resumes";

    /** Id of the only replica that may run the request or carry out the order; any other answers with status 421. */
    static final String TARGET_REPLICA = "Target-Replica";

    private static final String REQUEST_PRIORITY = "Request-Priority";

    /** Id of the replica that answered; for a misdirected request, of the replica that now has the address. */
    static final String REPLICA_ID = "Replica-Id";

    /** Present, with any value, if the replica guarantees that the request has not run. */
    private static final String NOT_EXECUTED = "Not-Executed";

    /**
     * Limit in requests per second over all senders together, as a decimal number; it limits neither connections nor
     * load.
     */
    private static final String SERVER_LIMIT = "Server-Limit";

    /** Present in all answers of a replica that is about to leave; {@code 0} would state that it stays. */
    private static final String SERVER_LEAVING = "Server-Leaving";

    /**
     * Seconds, which may have a fraction; never a date. From a replica, on a 503: the time for which it wants nothing from
     * this machine. To a caller: the time after which it may come back.
     */
    private static final String RETRY_AFTER = "Retry-After";

    /** In all answers of the store: a number that rises by one each time that it is restored from an older copy. */
    private static final String STORE_ERA = "Store-Era";

    /** Fields that only this system may set; those sent by a client must not reach a replica. */
    private static final List<String> RESERVED_FIELDS = List.of(
            TARGET_REPLICA,
            KEY,
            TENANT,
            REQUEST_PRIORITY,
            DEADLINE_REMAINING,
            LAST_EVENT_ID,
            "Expect-Version",
            "Hold",
            "Pin-Duration",
            "Kv-Backup",
            "Kv-From",
            "Kv-Fetch");

    /** Fields whose values a client keeps for each attempt of one request. */
    private static final List<String> IDENTITY_FIELDS = List.of("Host", MODEL, PROMPT_PREFIX);

    private static final int MAX_KEY_CHARACTERS = 512;
    private static final int MAX_PROMPT_PARTS = 16;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double MAX_DELAY_SECONDS = 86_400.0;
    private static final Pattern COMMA = Pattern.compile(",");
    private static final Pattern COLON = Pattern.compile(":");
    private static final Pattern EVENT_ID = Pattern.compile("[0-9]{1,18}");

    /** {@inheritDoc} */
    @Override
    public RequestHead readRequest(HttpFields fields) {
        String model = fields.get(MODEL);
        int slash = model == null ? -1 : model.indexOf('/');
        Optional<String> modelName =
                Optional.ofNullable(model).map(text -> slash < 0 ? text : text.substring(0, slash));
        Optional<String> adapter = slash < 0 ? Optional.empty() : Optional.of(model.substring(slash + 1));
        String[] tokens =
                COMMA.split(Optional.ofNullable(fields.get(TOKEN_COUNTS)).orElse(""));
        return new RequestHead(
                Optional.ofNullable(fields.get(ATTEMPT_ID)).orElse(""),
                parseLong(fields.get(DEADLINE_REMAINING)),
                modelName,
                adapter,
                parseLong(tokens[0]).orElse(0L),
                tokens.length > 1 ? parseLong(tokens[1]).orElse(0L) : 0L,
                readLengthHint(fields),
                readSharedPromptParts(fields.get(PROMPT_PREFIX)),
                readLastEventId(lastEventIds(fields)),
                Optional.ofNullable(fields.get(RESUMES)).map(String::trim).filter(id -> !id.isEmpty()),
                readKey(fields));
    }

    /** {@inheritDoc} */
    @Override
    public Optional<String> resumptionFault(HttpFields fields, boolean isResumable) {
        List<String> ids = lastEventIds(fields);
        if (!ids.isEmpty() && readLastEventId(ids).isEmpty()) {
            return Optional.of(
                    LAST_EVENT_ID + " must be one whole number from 0 on: the id of the last event that arrived");
        }
        return isResumable || ids.isEmpty()
                ? Optional.empty()
                : Optional.of("streams of this route can't be resumed: " + LAST_EVENT_ID + " must be absent");
    }

    /** Returns what a request states as the last event that its caller received; a client without one may send no text. */
    private static List<String> lastEventIds(HttpFields fields) {
        return fields.getValuesList(LAST_EVENT_ID).stream()
                .map(String::trim)
                .filter(id -> !id.isEmpty())
                .distinct()
                .toList();
    }

    private static Optional<Long> readLastEventId(List<String> ids) {
        return ids.size() == 1 && EVENT_ID.matcher(ids.get(0)).matches()
                ? Optional.of(Long.parseLong(ids.get(0)))
                : Optional.empty();
    }

    /** Reads the expected number of output tokens; a negative one counts as absent. */
    private static OptionalLong readLengthHint(HttpFields fields) {
        return parseLong(fields.get(LENGTH_HINT)).stream()
                .mapToLong(Long::longValue)
                .filter(tokens -> tokens >= 0)
                .findFirst();
    }

    /** Reads the ids of all prompt parts but the last; of a longer prompt only the first ones are told apart. */
    private static List<String> readSharedPromptParts(String prefix) {
        if (prefix == null) {
            return List.of();
        }
        String[] parts = COMMA.split(prefix);
        return Stream.of(parts)
                .limit(Math.max(0, Math.min(parts.length - 1, MAX_PROMPT_PARTS)))
                .map(part -> COLON.split(part.trim(), 2)[0])
                .filter(id -> !id.isEmpty())
                .distinct()
                .toList();
    }

    /** Reads the key; one that is sent twice or is longer than any that is handed out identifies nobody. */
    private static Optional<AccessKey> readKey(HttpFields fields) {
        List<String> values = fields.getValuesList(KEY);
        return values.size() == 1 && !values.get(0).isEmpty() && values.get(0).length() <= MAX_KEY_CHARACTERS
                ? Optional.of(AccessKey.of(values.get(0)))
                : Optional.empty();
    }

    /** {@inheritDoc} */
    @Override
    public HttpFields requestFields(HttpFields fields, ForwardedHead order) {
        HttpFields.Mutable replicaFields = MessageHead.endToEndFields(fields);
        RESERVED_FIELDS.forEach(replicaFields::remove);
        replicaFields.put(TARGET_REPLICA, order.replicaId());
        replicaFields.put(DEADLINE_REMAINING, Long.toString(order.remainingMillis()));
        order.priority().ifPresent(rank -> replicaFields.put(REQUEST_PRIORITY, Integer.toString(rank)));
        order.account().ifPresent(name -> replicaFields.put(TENANT, name));
        order.lastEventId().ifPresent(id -> replicaFields.put(LAST_EVENT_ID, Long.toString(id)));
        return replicaFields;
    }

    /** {@inheritDoc} */
    @Override
    public ResponseHead readResponse(int status, HttpFields fields) {
        boolean notExecuted = fields.contains(NOT_EXECUTED);
        boolean misdirected = status == MISDIRECTED_REQUEST;
        boolean full = notExecuted && (status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS);
        return new ResponseHead(
                String.join(",", fields.getValuesList(ATTEMPT_ID)),
                isSealed(fields),
                notExecuted || misdirected,
                misdirected,
                full,
                Optional.ofNullable(fields.get(REPLICA_ID)),
                parseNumber(fields.get(SERVER_LIMIT)),
                announcesLeaving(fields),
                status == SERVICE_UNAVAILABLE ? parseDelayMillis(fields.get(RETRY_AFTER)) : OptionalLong.empty());
    }

    /** Returns whether an answer has one seal; two stand in a head that was joined from those of two answers. */
    private static boolean isSealed(HttpFields fields) {
        List<String> seals = fields.getValuesList(SERVER_SEAL);
        return seals.size() == 1 && !seals.get(0).isBlank();
    }

    /** Returns the timeline of the store that an answer of it names; 0 if it names none that can be read. */
    static long storeTimeline(HttpFields fields) {
        String era = fields.get(STORE_ERA);
        try {
            return era == null ? 0L : Long.parseLong(era.trim());
        } catch (NumberFormatException failure) {
            // A store without a readable number counts as one that is never restored.
            return 0L;
        }
    }

    /** Returns whether an answer of a replica, to whatever was sent to it, announces that it is about to leave. */
    static boolean announcesLeaving(HttpFields fields) {
        return Optional.ofNullable(fields.get(SERVER_LEAVING))
                .filter(value -> !value.trim().equals("0"))
                .isPresent();
    }

    /** {@inheritDoc} */
    @Override
    public List<String> identityFields(HttpFields fields) {
        return IDENTITY_FIELDS.stream()
                .map(name -> Optional.ofNullable(fields.get(name)).orElse(""))
                .toList();
    }

    /** {@inheritDoc} */
    @Override
    public HttpFields refusalFields(Optional<Long> retryAfterMillis) {
        HttpFields.Mutable fields = HttpFields.build();
        retryAfterMillis.ifPresent(
                millis -> fields.put(RETRY_AFTER, String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND)));
        return fields;
    }

    /** {@inheritDoc} */
    @Override
    public ClientRequest incarnationQuery(HostPort address) {
        HttpFields fields = HttpFields.build().put("Host", address.toString());
        return new ClientRequest("GET", HttpEngineControl.REPORT_PATH, fields, new byte[0], true);
    }

    /** {@inheritDoc} */
    @Override
    public OptionalLong readIncarnation(byte[] answer) {
        try {
            return ReplicaReader.bornMillis(JsonFields.read(answer));
        } catch (IOException failure) {
            return OptionalLong.empty();
        }
    }

    private static OptionalLong parseDelayMillis(String seconds) {
        OptionalDouble number = parseNumber(seconds);
        return number.isPresent()
                ? OptionalLong.of(Math.round(Math.min(number.getAsDouble(), MAX_DELAY_SECONDS) * MILLIS_PER_SECOND))
                : OptionalLong.empty();
    }

    /** Parses a limit or a time; a value that is not a finite, non-negative number counts as absent. */
    private static OptionalDouble parseNumber(String text) {
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

    private static Optional<Long> parseLong(String text) {
        if (text == null || text.isBlank()) {
            return Optional.empty();
        }
        try {
            return Optional.of(Long.parseLong(text.trim()));
        } catch (NumberFormatException failure) {
            // A value that can't be parsed is treated as absent; the replica receives the caller's original text.
            return Optional.empty();
        }
    }
}
