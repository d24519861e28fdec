package io.waxwingquay.hosted;

import io.waxwingquay.net.BufferBudget;
import java.util.concurrent.atomic.AtomicLong;

/** A budget that records the most bytes that were held at any moment. */
final class RecordingBudget implements BufferBudget {

    private final BufferBudget budget;
    private final AtomicLong mostHeldBytes = new AtomicLong();

    RecordingBudget(long maxBytes) {
        this.budget = BufferBudget.ofBytes(maxBytes);
    }

    long mostHeldBytes() {
        return mostHeldBytes.get();
    }

    @Override
    public Holding open() {
        Holding holding = budget.open();
        return new Holding() {
            @Override
            public void set(long bytes) {
                holding.set(bytes);
                mostHeldBytes.accumulateAndGet(budget.heldBytes(), Math::max);
            }

            @Override
            public void close() {
                holding.close();
            }
        };
    }

    @Override
    public long heldBytes() {
        return budget.heldBytes();
    }

    @Override
    public boolean hasRoomFor(long bytes) {
        return budget.hasRoomFor(bytes);
    }

    @Override
    public boolean hasRoomForRequest(long bytes) {
        return budget.hasRoomForRequest(bytes);
    }

    @Override
    public boolean isOverHalf() {
        return budget.isOverHalf();
    }
}
