package io.waxwingquay.side;

import io.waxwingquay.common.Clock;
import java.util.concurrent.atomic.AtomicLong;

/** A clock that advances only on request. */
final class ManualClock implements Clock {

    private final AtomicLong millis = new AtomicLong(1_000_000L);

    void advance(long byMillis) {
        millis.addAndGet(byMillis);
    }

    @Override
    public long monotonicMillis() {
        return millis.get();
    }

    @Override
    public long epochMillis() {
        return millis.get();
    }
}
