package io.waxwingquay.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LossReportTest {

    private final LossReport report = LossReport.of(
            List.of(
                    request(10_000, 200, "streamed by e1"),
                    request(11_900, 503, "no room"),
                    request(12_000, 503, "no room")),
            2_000);

    @Test
    void countsByRouteAndByWindow() throws Exception {
        JsonNode root = new JsonMapper().readTree(report.json());
        assertEquals(2, root.at("/by_route/r/no-room").asInt());
        assertEquals(1, root.at("/by_route/r/in-time").asInt());
        assertEquals(1, root.at("/by_second/0.0/no-room").asInt());
        assertEquals(1, root.at("/by_second/2.0/no-room").asInt());
    }

    @Test
    void tableHasAColumnForEachObservedReason() {
        assertTrue(report.table().contains("no-room"));
        assertTrue(!report.table().contains("model-absent"));
    }

    @Test
    void plotWritesAChartFile(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("plot.png");
        report.plot(file);
        assertTrue(Files.size(file) > 0);
    }

    private static EndedRequest request(long arrivedAtMillis, int status, String reason) {
        return new EndedRequest(arrivedAtMillis, "r", "m", status, 0, 50, 20, 500, 250, reason);
    }
}
