package io.waxwingquay.standin;

import io.waxwingquay.common.Json;
import java.io.IOException;
import java.util.Optional;
import org.eclipse.jetty.server.Request;

/**
 * A request to a stand-in, after its body was received completely.
 *
 * @param request the request.
 * @param body the complete body.
 */
record StandinExchange(Request request, byte[] body) {

    boolean matches(String method, String path) {
        return request.getMethod().equals(method) && path().equals(path);
    }

    boolean matchesPrefix(String method, String prefix) {
        return request.getMethod().equals(method) && path().startsWith(prefix);
    }

    String path() {
        return Request.getPathInContext(request);
    }

    String pathAfter(String prefix) {
        return path().substring(prefix.length());
    }

    Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    <T> T parseBody(Class<T> type) {
        try {
            return Json.MAPPER.readValue(body, type);
        } catch (IOException failure) {
            throw new IllegalArgumentException(failure.getMessage(), failure);
        }
    }
}
