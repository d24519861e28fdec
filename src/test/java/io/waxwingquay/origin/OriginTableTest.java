package io.waxwingquay.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.waxwingquay.transport.generated.OriginQuestion;
import io.waxwingquay.transport.generated.OriginReport;
import io.waxwingquay.transport.generated.StreamOrigin;
import java.util.List;
import org.junit.jupiter.api.Test;

class OriginTableTest {

    private final OriginTable table = new OriginTable();

    @Test
    void firstStatementAboutAStreamHolds() {
        report("a", "v1", 0);
        report("a", "v1.1", 10);
        assertEquals("v1", table.answer(new OriginQuestion("a")).getOrigin().getSoftwareVersion());
        assertFalse(table.answer(new OriginQuestion("b")).isSetOrigin());
    }

    @Test
    void originIsDroppedAfterItsRetention() {
        report("a", "v1", 0);
        report("b", "v1", OriginTable.RETENTION_MILLIS + 1);
        assertFalse(table.answer(new OriginQuestion("a")).isSetOrigin());
    }

    // Guards against a process that runs out of memory because callers begin more streams than it can keep.
    @Test
    void oldestOriginsAreDroppedBeyondTheLimit() {
        for (int number = 0; number <= OriginTable.MAX_ORIGINS; number++) {
            report("s" + number, "v1", 0);
        }
        assertFalse(table.answer(new OriginQuestion("s0")).isSetOrigin());
        assertEquals("s1", table.answer(new OriginQuestion("s1")).getOrigin().getStreamId());
        report("x".repeat(OriginTable.MAX_ID_CHARACTERS + 1), "v1", 0);
        assertEquals("s1", table.answer(new OriginQuestion("s1")).getOrigin().getStreamId());
    }

    private void report(String streamId, String version, long nowMillis) {
        table.report(new OriginReport(List.of(new StreamOrigin(streamId, "s", version))), nowMillis);
    }
}
