package io.waxwingquay.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Writes the heads of HTTP messages and separates hop-by-hop from end-to-end header fields.
 */
public final class MessageHead {

    /** Hop-by-hop header fields (RFC 9110, 7.6.1), and the content length, which each hop writes itself. */
    private static final Set<String> HOP_BY_HOP_FIELDS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private static final byte[] CRLF = {'\r', '\n'};

    private MessageHead() {}

    /**
     * Returns the end-to-end fields of a message.
     *
     * @param fields all fields of the message.
     * @return a copy without the hop-by-hop fields, which include those that {@code Connection} names.
     */
    public static HttpFields.Mutable endToEndFields(HttpFields fields) {
        Set<String> connectionOptions = fields.getCSV(HttpHeader.CONNECTION, false).stream()
                .map(name -> name.toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        HttpFields.Mutable endToEnd = HttpFields.build();
        for (HttpField field : fields) {
            String name = field.getLowerCaseName();
            if (!HOP_BY_HOP_FIELDS.contains(name) && !connectionOptions.contains(name)) {
                endToEnd.add(field);
            }
        }
        return endToEnd;
    }

    /**
     * Returns whether the end of the connection is the only mark of the end of a response.
     *
     * @param fields all fields of a response that has a body.
     * @return whether the response has neither a length nor chunks.
     */
    public static boolean isDelimitedByClose(HttpFields fields) {
        return !fields.contains(HttpHeader.CONTENT_LENGTH) && !fields.contains(HttpHeader.TRANSFER_ENCODING);
    }

    /**
     * Returns the idle timeout that a peer announces in its {@code Keep-Alive} field.
     *
     * @param fields the fields of its message.
     * @return the timeout in seconds, if announced.
     */
    static Optional<Long> keepAliveSeconds(HttpFields fields) {
        String value = fields.get("Keep-Alive");
        if (value == null) {
            return Optional.empty();
        }
        for (String part : value.split(",")) {
            String[] pair = part.trim().split("=", 2);
            if (pair.length == 2 && pair[0].trim().equalsIgnoreCase("timeout")) {
                return parseSeconds(pair[1].trim());
            }
        }
        return Optional.empty();
    }

    static void putRequestLine(ByteBuffer buffer, String method, String target) {
        put(buffer, method);
        put(buffer, " ");
        put(buffer, target);
        put(buffer, " HTTP/1.1\r\n");
    }

    static void putStatusLine(ByteBuffer buffer, int status) {
        put(buffer, "HTTP/1.1 " + status + " ");
        byte[] reason = HttpGenerator.getReasonBuffer(status);
        put(buffer, reason == null ? "Status" : new String(reason, StandardCharsets.ISO_8859_1));
        buffer.put(CRLF);
    }

    static void putFields(ByteBuffer buffer, HttpFields fields) {
        for (HttpField field : fields) {
            HttpGenerator.putTo(field, buffer);
        }
    }

    static void putEnd(ByteBuffer buffer) {
        buffer.put(CRLF);
    }

    static void put(ByteBuffer buffer, String text) {
        buffer.put(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static Optional<Long> parseSeconds(String text) {
        try {
            return Optional.of(Long.parseLong(text));
        } catch (NumberFormatException failure) {
            // A timeout that can't be parsed is treated as not announced.
            return Optional.empty();
        }
    }
}
