package io.waxwingquay.entry;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Where the pieces of an answer go, in order of offset and without gaps.
 */
public interface AnswerSink {

    /**
     * Takes the next piece.
     *
     * @param offset the offset of its first unit.
     * @param bytes the content.
     * @param units how many units it has.
     * @return completes when more may follow; fails if the caller has gone.
     */
    CompletableFuture<Void> accept(long offset, byte[] bytes, int units);

    /**
     * Whether the caller has seen any of the answer, so that another attempt's answer can no longer take its place.
     *
     * @return whether it has.
     */
    boolean isStarted();

    /**
     * Whether nobody wants the answer any more.
     *
     * @return whether the caller has gone.
     */
    boolean isAbandoned();

    /** Drops what was gathered, before another attempt begins. */
    void restart();

    /** Gathers the whole answer before any of it is shown. */
    final class Buffered implements AnswerSink {

        private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        private final BooleanSupplier abandoned;

        /**
         * An empty sink.
         *
         * @param abandoned tells whether the caller has gone.
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
         * What was gathered.
         *
         * @return the bytes.
         */
        public synchronized byte[] bytes() {
            return buffer.toByteArray();
        }
    }
}
