import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http {

    private Http() {}

    /** A message: the words of its first line, its header fields by lower-case name, and its body. */
    static final class Message {
        String[] firstLine;
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(firstLine[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message; null at the end of the input before its first byte. */
    static Message read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Message message = new Message();
        message.firstLine = line.split(" ", 3);
        for (String field = readLine(in); field != null && !field.isEmpty(); field = readLine(in)) {
            int colon = field.indexOf(':');
            message.fields.put(
                    field.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).trim());
        }
        String length = message.field("content-length");
        if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) {
                throw new EOFException("a body was cut");
            }
        } else if ("chunked".equalsIgnoreCase(message.field("transfer-encoding"))) {
            message.body = readChunks(in);
        }
        return message;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) {
                throw new EOFException("a chunk was cut");
            }
            int bytes = Integer.parseInt(size.trim(), 16);
            byte[] chunk = in.readNBytes(bytes);
            if (chunk.length < bytes) {
                throw new EOFException("a chunk was cut");
            }
            body.write(chunk);
            readLine(in);
            if (bytes == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
        if (line.size() > 0) {
            throw new EOFException("a head was cut");
        }
        return null;
    }

    /** Returns the bytes of a response with a length. */
    static byte[] response(String statusLine, Map<String, String> fields, byte[] body) {
        return message("HTTP/1.1 " + statusLine, fields, body);
    }

    /** Returns the bytes of a request; it has a length if its method usually has a body. */
    static byte[] request(String method, String target, Map<String, String> fields, byte[] body) {
        return message(method + " " + target + " HTTP/1.1", fields, method.equals("GET") ? null : body);
    }

    private static byte[] message(String firstLine, Map<String, String> fields, byte[] body) {
        StringBuilder head = new StringBuilder(firstLine).append("\r\n");
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) {
            all.writeBytes(body);
        }
        return all.toByteArray();
    }

    static void write(OutputStream out, byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }
}
