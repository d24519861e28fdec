package io.waxwingquay.entry;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Receives the chunks of an answer, in order of offset and without gaps.
 */
public interface AnswerSink {

    /**
     * Accepts the next chunk.
     *
     * @param offset the offset of the chunk's first unit.
     * @param bytes the content.
     * @param units the number of units in the chunk.
     * @return a future that completes when the next chunk may follow, and fails if the caller has disconnected.
     */
    CompletableFuture<Void> accept(long offset, byte[] bytes, int units);

    /**
     * Returns whether the caller may have received a part of the answer. The answer of another attempt can then no
     * longer replace it.
     *
     * @return whether the answer has started.
     */
    boolean isStarted();

    /**
     * Returns whether the answer is no longer needed.
     *
     * @return whether the caller has disconnected.
     */
    boolean isAbandoned();

    /** Discards the chunks received so far, before another attempt starts. */
    void restart();

    /** Buffers the complete answer before any of it is sent to the caller. */
    final class Buffered implements AnswerSink {

        private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        private final BooleanSupplier abandoned;

        /**
         * Creates an empty sink.
         *
         * @param abandoned returns whether the caller has disconnected.
         */
        public Buffered(BooleanSupplier abandoned) {
            this.abandoned = abandoned;
        }

        /** {@inheritDoc} */
        @Override
        public synchronized CompletableFuture<Void> accept(long offset, byte[] bytes, int units) {
            buffer.writeBytes(bytes);
            return CompletableFuture.completedFuture(null);
        }

        /** {@inheritDoc} */
        @Override
        public boolean isStarted() {
            return false;
        }

        /** {@inheritDoc} */
        @Override
        public boolean isAbandoned() {
            return abandoned.getAsBoolean();
        }

        /** {@inheritDoc} */
        @Override
        public synchronized void restart() {
            buffer.reset();
        }

        /**
         * Returns the content received so far.
         *
         * @return the bytes.
         */
        public synchronized byte[] bytes() {
            return buffer.toByteArray();
        }
    }
}
