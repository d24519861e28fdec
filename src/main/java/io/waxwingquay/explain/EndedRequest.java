package io.waxwingquay.explain;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * How one request ended, as an entry logged it.
 *
 * @param arrivedAtMillis when it came to its entry, in Unix time.
 * @param route the name of its route.
 * @param model the model and adapter asked for; empty text for a plain service.
 * @param status the status that its caller got; 0 if it got no whole answer.
 * @param entryWaitMillis how long it waited in the entry before it was sent to a replica.
 * @param firstEventMillis how long its caller waited for the first event, or for a plain answer as a whole.
 * @param longestPauseMillis the longest pause between two events.
 * @param firstEventObjectiveMillis the time aimed at for the first event; 0 if the route has none.
 * @param pauseObjectiveMillis the pause aimed at; 0 if the route has none.
 * @param reason what decided it.
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

    private static final Pattern LINE = Pattern.compile("(?<at>\\d{4}-\\d\\d-\\d\\dT[\\d:.]+Z) .*forward: ended id=\\S*"
            + " route=(?<route>\\S+) service=\\S+ model=(?<model>\\S*) status=(?<status>\\d+) sent=\\d+"
            + " took_ms=(?<took>\\d+) first_ms=(?<first>\\d+) pause_ms=(?<pause>\\d+) waited_ms=(?<waited>\\d+)"
            + " objective_ms=(?<objective>\\d+) pause_objective_ms=(?<pauseObjective>\\d+) why=(?<why>.*)");

    /**
     * Reads a log line.
     *
     * @param line the line, with anything before its time.
     * @return the request; empty if the line tells of something else.
     */
    public static Optional<EndedRequest> parse(String line) {
        Matcher matcher = LINE.matcher(line);
        if (!matcher.find()) {
            return Optional.empty();
        }
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
            // A line that was cut or mixed with another one tells nothing.
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
