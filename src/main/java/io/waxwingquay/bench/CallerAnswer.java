package io.waxwingquay.bench;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The outcome of one request as its caller sees it.
 *
 * @param statusCode the HTTP status; 0 if the connection broke before it arrived.
 * @param isWhole whether the answer succeeded and reached its explicit end.
 * @param text the answer's text, or the error's message.
 * @param tokens number of tokens received.
 * @param firstTokenMicros time from sending to the first token, if any arrived.
 * @param totalMicros time from sending to the end of the answer.
 * @param error the error, if the answer holds one.
 */
public record CallerAnswer(
        int statusCode,
        boolean isWhole,
        String text,
        long tokens,
        OptionalLong firstTokenMicros,
        long totalMicros,
        Optional<Error> error) {

    /**
     * An error answer as its caller reads it.
     *
     * @param code the error code.
     * @param execution whether the request ran: {@code did_not_run}, {@code ran} or {@code unknown}.
     * @param retryAfterMillis the retry-after delay; 0 if a retry makes no sense.
     */
    public record Error(String code, String execution, long retryAfterMillis) {}
}
