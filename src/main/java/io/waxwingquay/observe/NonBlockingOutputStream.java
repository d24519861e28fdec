package io.waxwingquay.observe;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * Buffers log lines and writes them in batches on a thread of its own.
 *
 * <p>If the reader of standard output stops reading and lines were written by the logging threads, the process and all
 * its requests would block. Instead, lines beyond the buffer's limit are dropped and counted, and the next batch
 * reports the count.
 */
final class NonBlockingOutputStream extends OutputStream {

    private static final int MAX_BUFFERED_BYTES = 262_144;
    private static final long DRAIN_INTERVAL_MILLIS = 250L;

    private final PrintStream target;
    private ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private long droppedLines;

    NonBlockingOutputStream(PrintStream target) {
        this.target = target;
        Thread writer = new Thread(this::drainPeriodically, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** {@inheritDoc} */
    @Override
    public void write(int value) {
        write(new byte[] {(byte) value}, 0, 1);
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void write(byte[] bytes, int offset, int length) {
        if (buffer.size() + length > MAX_BUFFERED_BYTES) {
            droppedLines++;
        } else {
            buffer.write(bytes, offset, length);
            notifyAll();
        }
    }

    void drain() {
        byte[] lines = takeBuffered();
        if (lines.length > 0) {
            target.write(lines, 0, lines.length);
            target.flush();
        }
    }

    private synchronized byte[] takeBuffered() {
        if (droppedLines > 0) {
            buffer.writeBytes(("observe: lines dropped count=" + droppedLines + "\n").getBytes(StandardCharsets.UTF_8));
            droppedLines = 0;
        }
        byte[] lines = buffer.toByteArray();
        buffer.reset();
        return lines;
    }

    /** Drains in batches while lines are written, and waits without waking up while none are. */
    private void drainPeriodically() {
        try {
            while (true) {
                awaitLines();
                drain();
                Thread.sleep(DRAIN_INTERVAL_MILLIS);
            }
        } catch (InterruptedException failure) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void awaitLines() throws InterruptedException {
        while (buffer.size() == 0 && droppedLines == 0) {
            wait();
        }
    }
}
