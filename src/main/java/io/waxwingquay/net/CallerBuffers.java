package io.waxwingquay.net;

import java.util.Optional;

/** Counts what the connection of one caller holds, and pauses the source of its output or cuts it off. */
final class CallerBuffers implements BackPressure.Output {

    private final ServerConnection connection;
    private final BackPressure backPressure;
    private final BufferBudget.Holding input;
    private final BufferBudget.Holding output;
    private final ReadRate readRate = new ReadRate();
    private Optional<PausableSource> source = Optional.empty();
    private boolean waiting;
    private boolean cutOff;

    CallerBuffers(ServerConnection connection, BufferBudget budget, BackPressure backPressure) {
        this.connection = connection;
        this.backPressure = backPressure;
        this.input = budget.open();
        this.output = budget.open();
    }

    /** Sets how many bytes of requests are held that are not handled yet. */
    void inputBytes(long bytes) {
        input.set(bytes);
    }

    /** Sets where the response in progress comes from; a former source is not paused any longer. */
    void source(Optional<PausableSource> newSource) {
        if (!source.equals(newSource)) {
            backPressure.resume(this);
            source = newSource;
        }
    }

    void outputQueued() {
        if (!waiting) {
            waiting = true;
            readRate.start(connection.acceptedBytes(), EventLoop.nowMillis());
        }
        outputChanged();
        backPressure.grew(this);
    }

    void outputChanged() {
        output.set(connection.queuedBytes());
        readRate.observe(connection.acceptedBytes(), EventLoop.nowMillis());
    }

    void outputComplete() {
        waiting = false;
        output.set(0);
        backPressure.ended(this);
    }

    /** Gives everything back as the connection ends. */
    void close() {
        input.close();
        output.close();
        backPressure.ended(this);
    }

    /** Returns whether the caller was cut off because it read too slowly. */
    boolean isCutOff() {
        return cutOff;
    }

    /** {@inheritDoc} */
    @Override
    public long unsentBytes() {
        return connection.unsentBytes();
    }

    /** {@inheritDoc} */
    @Override
    public long heldBytes() {
        return connection.queuedBytes();
    }

    /** {@inheritDoc} */
    @Override
    public double bytesPerMilli(long nowMillis) {
        return readRate.bytesPerMilli(connection.acceptedBytes(), nowMillis);
    }

    /** {@inheritDoc} */
    @Override
    public boolean hasSource() {
        return source.isPresent();
    }

    /** {@inheritDoc} */
    @Override
    public void pauseSource() {
        source.ifPresent(PausableSource::pause);
    }

    /** {@inheritDoc} */
    @Override
    public void resumeSource() {
        source.ifPresent(PausableSource::resume);
    }

    /** {@inheritDoc} */
    @Override
    public void cutOff() {
        cutOff = true;
        output.close();
        connection.discardOutput();
    }
}
