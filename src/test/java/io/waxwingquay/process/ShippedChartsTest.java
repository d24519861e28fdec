package io.waxwingquay.process;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.chart.ChartException;
import io.waxwingquay.chart.StateChart;
import io.waxwingquay.claim.ClaimRecord;
import io.waxwingquay.ledger.MemoryLedger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ShippedChartsTest {

    private static final long LIMIT_SECONDS = 60;

    @TempDir
    private Path directory;

    @Test
    void allChartsAreValid() {
        assertDoesNotThrow(ShippedCharts::validateAll);
    }

    // Guards against overcommitted memory: only the engine's own report may free memory, because an order that timed
    // out may still take effect. The chart has no event for a timeout, and only two events lead to ABSENT.
    @Test
    void onlyTheEngineFreesMemory() {
        StateChart<MemoryLedger.State, MemoryLedger.Event> chart =
                StateChart.load(MemoryLedger.CHART_NAME, MemoryLedger.State.class, MemoryLedger.Event.class);
        EnumSet<MemoryLedger.Event> freeing = EnumSet.of(MemoryLedger.Event.REPORT_ABSENT, MemoryLedger.Event.REBOOT);
        for (MemoryLedger.State state : EnumSet.complementOf(EnumSet.of(MemoryLedger.State.ABSENT))) {
            for (MemoryLedger.Event event : EnumSet.complementOf(freeing)) {
                assertNotEquals(
                        MemoryLedger.State.ABSENT, chart.next(state, event).orElse(state), state + " " + event);
            }
        }
    }

    // Guards against a call that runs twice because a second attempt takes over a claim whose first attempt may still
    // start. The record itself refuses the transition, whatever the caller of reclaimedBy assumes.
    @Test
    void claimThatMayHaveRunIsNotReclaimed() {
        ClaimRecord claimed = ClaimRecord.of("first", "side-1", 1L, 7L, 0L);
        ClaimRecord next = ClaimRecord.of("second", "side-2", 1L, 7L, 0L);
        ClaimRecord settled = claimed.settled(new ClaimRecord.Outcome(200, "text/plain", new byte[0], false));
        assertThrows(ChartException.IllegalEvent.class, () -> claimed.reclaimedBy(next));
        assertThrows(ChartException.IllegalEvent.class, () -> settled.reclaimedBy(next));
        assertThrows(ChartException.IllegalEvent.class, settled::notRun);
        assertEquals("second", claimed.notRun().reclaimedBy(next).attemptId());
    }

    // Guards against a chart with a missing transition that fails a request long after the start. The process must
    // refuse to start and name the chart and its missing transitions.
    @Test
    void malformedChartPreventsStart() throws Exception {
        Path chart = Files.createDirectories(directory.resolve("charts")).resolve("claim.chart");
        Files.writeString(chart, "initial CLAIMED\nfinal CLAIMED SETTLED\nCLAIMED --SETTLE--> SETTLED\n");
        Path output = directory.resolve("output");
        Process process = start(output);
        try {
            assertTrue(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS), "the process did not exit");
        } finally {
            process.destroyForcibly();
        }
        String text = Files.readString(output);
        assertEquals(1, process.exitValue(), text);
        assertTrue(text.contains("chart claim: event WITHDRAW is missing in state CLAIMED"), text);
        assertTrue(text.contains("state DID_NOT_RUN is unreachable"), text);
    }

    private Process start(Path output) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String classPath = directory + ":" + System.getProperty("java.class.path");
        return new ProcessBuilder(
                        java,
                        "-Xmx192m",
                        "-cp",
                        classPath,
                        "io.waxwingquay.command.Main",
                        "entry",
                        "--settings",
                        "docs/settings/entry.toml")
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
    }
}
