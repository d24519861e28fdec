package io.waxwingquay.entry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes complete HTTP answers.
 */
final class HttpAnswerWriter {

    static final String JSON = "application/json";

    private static final long MILLIS_PER_SECOND = 1_000;

    private HttpAnswerWriter() {}

    static void write(Response response, Callback callback, int status, String contentType, byte[] body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    static void write(Response response, Callback callback, CallFailure failure) {
        if (failure.retryAfterMillis() > 0) {
            long seconds = (failure.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
        }
        byte[] body = CallerMessages.error(failure).getBytes(StandardCharsets.UTF_8);
        write(response, callback, failure.code().httpStatus(), JSON, body);
    }
}
