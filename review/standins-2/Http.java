import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking sockets, for the stand-ins of this review. */
final class Http {

    private Http() {}

    /** A message: its first line, its header fields by lower-case name, and its body. */
    static final class Message {
        String start = "";
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** A channel with a buffered input. */
    static final class Channel implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Channel(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            this.in = new BufferedInputStream(socket.getInputStream(), 2_048);
            this.out = socket.getOutputStream();
        }

        static Channel open(String host, int port, int timeoutMillis) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(host, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            return new Channel(socket);
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Closes with a reset. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException gone) {
                // It is closed already.
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException gone) {
                // It is closed already.
            }
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("end of input");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.start = readLine(in);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a whole message; one without a length or chunks has no body. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        String length = message.field("Content-Length");
        if (length != null) {
            message.body = readFully(in, Integer.parseInt(length));
        } else if ("chunked".equalsIgnoreCase(message.field("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(readFully(in, size));
                readLine(in);
            }
            readLine(in);
            message.body = body.toByteArray();
        }
        return message;
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
    }

    static byte[] readFully(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("end of input within a body");
        }
        return bytes;
    }

    static String head(String start, String... fields) {
        StringBuilder head = new StringBuilder(start).append("\r\n");
        for (String field : fields) {
            if (!field.isEmpty()) {
                head.append(field).append("\r\n");
            }
        }
        return head.append("\r\n").toString();
    }

    static String answer(int status, String fields, String body) {
        return "HTTP/1.1 " + status + " Status\r\n" + fields + "Content-Length: "
                + body.getBytes(StandardCharsets.ISO_8859_1).length + "\r\n\r\n" + body;
    }
}
