import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** A client that keeps its channel open and sends one request at a time. */
final class Client implements AutoCloseable {

    /** What a client saw: when it sent the request, and the status, or 0 if the channel ended without an answer. */
    record Answer(String id, long sentMillis, int status, String seal, String body) {}

    private final InetSocketAddress entry;
    private final Recorder recorder;
    private Socket socket;

    Client(InetSocketAddress entry, Recorder recorder) {
        this.entry = entry;
        this.recorder = recorder;
    }

    Answer send(String method, String path, String id, long timeLimitMillis, Map<String, String> more) {
        return send(method, path, id, timeLimitMillis, more, "order " + id);
    }

    Answer send(
            String method, String path, String id, long timeLimitMillis, Map<String, String> more, String body) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", "desk.example");
        fields.put("Attempt-Id", id);
        fields.put("Deadline-Remaining", Long.toString(timeLimitMillis));
        fields.putAll(more);
        long sentMillis = recorder.nowMillis();
        recorder.add("sent id=%s method=%s path=%s entry=%s", id, method, path, entry.getHostString());
        Answer answer;
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(entry, 1_000);
            }
            socket.setSoTimeout((int) timeLimitMillis);
            Http.write(socket.getOutputStream(), Http.request(method, path, fields, body.getBytes()));
            Http.Message message = Http.read(socket.getInputStream());
            if (message == null) {
                close();
                answer = new Answer(id, sentMillis, 0, null, "");
            } else {
                answer = new Answer(id, sentMillis, message.status(), message.field("server-seal"), message.text());
                if ("close".equalsIgnoreCase(message.field("connection"))) {
                    close();
                }
            }
        } catch (IOException failure) {
            close();
            answer = new Answer(id, sentMillis, 0, null, failure.toString());
        }
        recorder.add("answered id=%s status=%d seal=%s body=%s", id, answer.status, answer.seal, answer.body);
        return answer;
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException ignored) {
            // Nothing is left to close.
        }
        socket = null;
    }
}
