import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start. */
final class Recorder implements AutoCloseable {

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), false);
    }

    long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String format, Object... arguments) {
        out.println(nowMillis() + " " + String.format(format, arguments));
    }

    /** Writes a line to the record and to the console. */
    synchronized void say(String format, Object... arguments) {
        String line = String.format(format, arguments);
        out.println(nowMillis() + " " + line);
        System.out.println(nowMillis() + " " + line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
