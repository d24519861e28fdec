package io.waxwingquay.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BackPressureTest {

    private static final long BUDGET_BYTES = 1_000;

    private final BufferBudget budget = BufferBudget.ofBytes(BUDGET_BYTES);
    private final List<Runnable> scheduled = new ArrayList<>();
    private long nowMillis;
    private final BackPressure backPressure =
            new BackPressure(budget, () -> nowMillis, (delayMillis, task) -> scheduled.add(task));

    @Test
    void nothingIsPausedUpToHalfOfTheBudget() {
        FakeOutput output = new FakeOutput(1);
        output.grow(500);
        assertEquals("", output.log);
    }

    // Guards against a pause of a caller that hardly waits, while another one fills the budget.
    @Test
    void sourceOfTheLongestOutputIsPausedUntilItsCallerHasReadAll() {
        FakeOutput longest = new FakeOutput(1);
        FakeOutput other = new FakeOutput(1);
        longest.grow(450);
        other.grow(100);
        assertEquals("pause ", longest.log);
        assertEquals("", other.log);
        longest.drain();
        assertEquals("pause resume ", longest.log);
    }

    @Test
    void sourceIsResumedOnceNoMoreThanHalfIsHeld() {
        FakeOutput longest = new FakeOutput(1);
        FakeOutput other = new FakeOutput(1);
        longest.grow(450);
        other.grow(100);
        other.drain();
        runScheduled();
        assertEquals("pause resume ", longest.log);
    }

    // Guards against a source that is paused for so long that the engine cuts it off, and against cutting off a caller
    // that reads while another one does not.
    @Test
    void afterTheLongestPauseTheSlowestCallerIsCutOff() {
        FakeOutput longest = new FakeOutput(5);
        FakeOutput slowest = new FakeOutput(1);
        slowest.grow(100);
        longest.grow(450);
        nowMillis += BackPressure.MAX_PAUSE_MILLIS - 1;
        runScheduled();
        assertEquals("pause ", longest.log);
        nowMillis++;
        runScheduled();
        assertEquals("cut ", slowest.log);
        assertEquals("pause resume ", longest.log);
    }

    @Test
    void slowestCallersAreCutOffWhileTheBudgetIsExceeded() {
        FakeOutput slowest = new FakeOutput(1);
        FakeOutput slow = new FakeOutput(2);
        FakeOutput fast = new FakeOutput(3);
        List.of(slow, slowest).forEach(output -> output.grow(400));
        fast.grow(700);
        assertTrue(slowest.log.endsWith("cut ") && slow.log.endsWith("cut "), slowest.log + slow.log);
        assertFalse(fast.log.contains("cut"), fast.log);
        assertTrue(budget.hasRoomFor(0));
    }

    // Guards against cutting off every caller although what fills the budget is something else.
    @Test
    void noCallerIsCutOffForBytesThatWouldNotFitAllTheSame() {
        budget.open().set(700);
        FakeOutput output = new FakeOutput(1);
        output.grow(100);
        assertFalse(backPressure.makeRoom(301));
        assertFalse(output.log.contains("cut"), output.log);
        assertTrue(backPressure.makeRoom(300));
        assertTrue(output.log.contains("cut"), output.log);
    }

    private void runScheduled() {
        List<Runnable> due = List.copyOf(scheduled);
        scheduled.clear();
        due.forEach(Runnable::run);
    }

    private final class FakeOutput implements BackPressure.Output {

        private final double rate;
        private final BufferBudget.Holding holding = budget.open();
        private long bytes;
        private String log = "";

        private FakeOutput(double rate) {
            this.rate = rate;
        }

        private void grow(long more) {
            bytes += more;
            holding.set(bytes);
            backPressure.grew(this);
        }

        private void drain() {
            bytes = 0;
            holding.set(0);
            backPressure.ended(this);
        }

        @Override
        public long unsentBytes() {
            return bytes;
        }

        @Override
        public long heldBytes() {
            return bytes;
        }

        @Override
        public double bytesPerMilli(long now) {
            return rate;
        }

        @Override
        public boolean hasSource() {
            return true;
        }

        @Override
        public void pauseSource() {
            log += "pause ";
        }

        @Override
        public void resumeSource() {
            log += "resume ";
        }

        @Override
        public void cutOff() {
            log += "cut ";
            holding.close();
        }
    }
}
