package io.waxwingquay.explain;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Describes how a request ended, as parsed from a log line of an entry.
 *
 * @param arrivedAtMillis when it arrived at its entry, in Unix time.
 * @param route the name of its route.
 * @param model the requested model and adapter; an empty string for a plain service.
 * @param status the HTTP status of the answer; 0 if the caller got no complete answer.
 * @param entryWaitMillis how long it was queued in the entry before it was sent to a replica.
 * @param firstEventMillis the time to the first event, or to the complete answer if it is not a stream.
 * @param longestPauseMillis the longest pause between two consecutive events.
 * @param firstEventObjectiveMillis the objective for the time to the first event; 0 if the route has none.
 * @param pauseObjectiveMillis the objective for the longest pause; 0 if the route has none.
 * @param reason the reason that the entry logged for the outcome.
 */
public record EndedRequest(
        long arrivedAtMillis,
        String route,
        String model,
        int status,
        long entryWaitMillis,
        long firstEventMillis,
        long longestPauseMillis,
        long firstEventObjectiveMillis,
        long pauseObjectiveMillis,
        String reason) {

    static final int FIRST_CLIENT_ERROR = 400;
    static final int FIRST_SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECTION = 300;

    private static final Pattern LINE = Pattern.compile(
            "(?<at>\\d{4}-\\d\\d-\\d\\dT[\\d:.]+Z) .*forward: ended id=\\S*"
                    + " route=(?<route>\\S+) service=\\S+ model=(?<model>\\S*) status=(?<status>\\d+) sent=\\d+"
                    + " took_ms=(?<took>\\d+) first_ms=(?<first>\\d+) pause_ms=(?<pause>\\d+) waited_ms=(?<waited>\\d+)"
                    + " objective_ms=(?<objective>\\d+) pause_objective_ms=(?<pauseObjective>\\d+)(?: slot_ms=\\d+ slots_asked=\\d+)? why=(?<why>.*)");

    private static final Pattern REFUSED_LINE =
            Pattern.compile("(?<at>\\d{4}-\\d\\d-\\d\\dT[\\d:.]+Z) .*forward: refused id=\\S* route=(?<route>\\S+)"
                    + " status=(?<status>\\d+) why=(?<why>.*)");

    /**
     * Parses a log line.
     *
     * @param line the line; any text may precede its timestamp.
     * @return the request, or empty if the line does not record the end of a request.
     */
    public static Optional<EndedRequest> parse(String line) {
        Matcher matcher = LINE.matcher(line);
        return matcher.find() ? parseEnded(matcher) : parseRefused(REFUSED_LINE.matcher(line));
    }

    /** Parses the line of a request that was refused before it was routed to a replica. */
    private static Optional<EndedRequest> parseRefused(Matcher matcher) {
        if (!matcher.find()) {
            return Optional.empty();
        }
        return parseEpochMillis(matcher.group("at"))
                .map(endedMillis -> new EndedRequest(
                        endedMillis,
                        matcher.group("route"),
                        "",
                        (int) number(matcher, "status"),
                        0,
                        0,
                        0,
                        0,
                        0,
                        matcher.group("why")));
    }

    private static Optional<EndedRequest> parseEnded(Matcher matcher) {
        long firstEventMillis = number(matcher, "first");
        long tookMillis = number(matcher, "took");
        return parseEpochMillis(matcher.group("at"))
                .map(endedMillis -> new EndedRequest(
                        endedMillis - tookMillis,
                        matcher.group("route"),
                        matcher.group("model"),
                        (int) number(matcher, "status"),
                        number(matcher, "waited"),
                        firstEventMillis > 0 ? firstEventMillis : tookMillis,
                        number(matcher, "pause"),
                        number(matcher, "objective"),
                        number(matcher, "pauseObjective"),
                        matcher.group("why")));
    }

    private static long number(Matcher matcher, String group) {
        return Long.parseLong(matcher.group(group));
    }

    private static Optional<Long> parseEpochMillis(String text) {
        try {
            return Optional.of(Instant.parse(text).toEpochMilli());
        } catch (DateTimeParseException malformed) {
            // The line is truncated or interleaved with another one, so its values are not usable.
            return Optional.empty();
        }
    }

    boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECTION;
    }

    boolean isRejected() {
        return status == SERVICE_UNAVAILABLE && !reason.startsWith("answered by");
    }

    boolean isFirstEventLate() {
        return isSuccess() && firstEventObjectiveMillis > 0 && firstEventMillis > firstEventObjectiveMillis;
    }

    boolean isPauseLate() {
        return isSuccess() && pauseObjectiveMillis > 0 && longestPauseMillis > pauseObjectiveMillis;
    }

    boolean isMostlyEntryWait() {
        return 2 * entryWaitMillis >= firstEventMillis;
    }
}
