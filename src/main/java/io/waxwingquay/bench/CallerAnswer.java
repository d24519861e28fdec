package io.waxwingquay.bench;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What one caller saw of one request.
 *
 * @param statusCode the HTTP status; 0 if the connection broke before one came.
 * @param isWhole whether the answer came to its explicit end.
 * @param text the answer's text, or the error's message.
 * @param tokens tokens received.
 * @param firstTokenMicros time from sending to the first token, if any came.
 * @param totalMicros time from sending to the end.
 * @param error the error, if it was one.
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
     * An error as the caller reads it.
     *
     * @param code its code.
     * @param execution whether the request ran: {@code did_not_run}, {@code ran} or {@code unknown}.
     * @param retryAfterMillis when to come back, 0 if it makes no sense.
     */
    public record Error(String code, String execution, long retryAfterMillis) {}
}
