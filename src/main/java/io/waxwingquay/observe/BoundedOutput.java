package io.waxwingquay.observe;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * Takes log lines in and writes them out from a thread of its own, some at a time.
 *
 * <p>Failure: whoever reads standard output stops reading. Symptom if lines were written where they are logged: the
 * process stands still with all its requests. Here lines beyond the limit are dropped and counted, and the count is
 * written when there is room again.
 */
final class BoundedOutput extends OutputStream {

    private static final int LIMIT_BYTES = 262_144;
    private static final long PAUSE_MILLIS = 250L;

    private final PrintStream target;
    private ByteArrayOutputStream held = new ByteArrayOutputStream();
    private long droppedLines;

    BoundedOutput(PrintStream target) {
        this.target = target;
        Thread writer = new Thread(this::writeOut, "log");
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
        if (held.size() + length > LIMIT_BYTES) {
            droppedLines++;
        } else {
            held.write(bytes, offset, length);
        }
    }

    void drain() {
        byte[] lines = take();
        if (lines.length > 0) {
            target.write(lines, 0, lines.length);
            target.flush();
        }
    }

    private synchronized byte[] take() {
        if (droppedLines > 0) {
            held.writeBytes(("observe: lines dropped count=" + droppedLines + "\n").getBytes(StandardCharsets.UTF_8));
            droppedLines = 0;
        }
        byte[] lines = held.toByteArray();
        held.reset();
        return lines;
    }

    private void writeOut() {
        while (true) {
            drain();
            try {
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException failure) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
