package io.waxwingquay.observe;

import io.waxwingquay.testing.Await;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class NonBlockingOutputStreamTest {

    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final NonBlockingOutputStream stream = new NonBlockingOutputStream(new PrintStream(written, true));

    // Guards against a writer thread that misses a line because it was not waiting when the line was buffered.
    @Test
    void writesLinesBeforeAndAfterEachBatch() throws Exception {
        for (int number = 0; number < 4; number++) {
            write("first " + number + "\n");
            Await.until(() -> written.toString(StandardCharsets.UTF_8).contains("first"));
            write("second " + number + "\n");
            String last = "second " + number;
            Await.until(() -> written.toString(StandardCharsets.UTF_8).contains(last));
        }
    }

    private void write(String line) {
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        stream.write(bytes, 0, bytes.length);
    }
}
